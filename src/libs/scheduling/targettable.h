#pragma once

#include "allowance.h"
#include "fleetspecs.h"
#include "request.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace Scheduling
{

using RandomEngine = std::mt19937_64;

enum class TargetStatus {
    InService,
    Suspect, ///< an outlier that the pool can't do without: chosen last
    Ejected, ///< gets no work
    Probing, ///< gets one request at a time
};

struct Target {
    TargetSpec spec;
    PoolIndex pool = 0;
    std::optional<Allowance> allowance; ///< not set: all of the target's slots
    std::uint32_t inFlight = 0;
    std::uint32_t unboundedInFlight = 0; ///< of them those that may outlast the borrowed slots
    TargetStatus status = TargetStatus::InService;
    bool isRetired = false; ///< no longer in the fleet, its requests in flight finish
    bool isListed = false; ///< in the fleet that is being set

    /// Requests that this entry instance may have in flight on it.
    std::uint32_t limit() const;

    /// A request that ends by `giveUpAt` may use a borrowed slot.
    bool isBounded(Base::Instant giveUpAt) const;

    /// There is a slot for a request that ends by `giveUpAt`.
    bool canTake(Base::Instant giveUpAt) const;

    bool isInService() const;
};

struct PoolCapacity {
    std::uint32_t targets = 0;
    std::uint32_t declaredSlots = 0; ///< over all entry instances, draining targets included
    std::uint32_t inServiceSlots = 0; ///< over all entry instances, on targets that get work
    std::uint32_t slots = 0; ///< this entry instance's allowance, on targets that get work
    std::uint32_t usableTargets = 0; ///< with an allowance, getting work
};

/// The targets with their requests in flight. Free targets are indexed by pool, so that a choice costs the
/// same at any size of the pool.
class TargetTable
{
public:
    explicit TargetTable(Base::AvailabilityZoneName zone);

    /// What a request asks of its target.
    struct Constraints {
        const FailedAttempts &excluded;
        Base::Instant giveUpAt;
    };

    struct UpdateResult {
        TargetIndex index = 0;
        bool isNew = false; ///< not there before, or another instance or pool than before
    };

    /// Adds or changes a target; what is in flight on it stays counted.
    UpdateResult addOrUpdate(const TargetSpec &spec, PoolIndex pool);

    /// Retires the targets that were not put since the last call and returns them.
    std::vector<TargetIndex> retireUnlisted();

    void setAllowance(TargetIndex index, const Allowance &allowance);
    void setStatus(TargetIndex index, TargetStatus status);

    /// The less loaded of two free targets drawn at random, of this zone while it has one, suspects last.
    /// Nothing when no target is free for it.
    std::optional<TargetIndex>
    choose(PoolIndex pool, const Constraints &constraints, RandomEngine &random) const;

    void occupy(TargetIndex index, bool isBounded);
    void release(TargetIndex index, bool isBounded);

    std::optional<TargetIndex> find(TargetId id) const;
    const Target &at(TargetIndex index) const;
    PoolCapacity capacity(PoolIndex pool) const;
    bool hasFree(PoolIndex pool) const;

private:
    static constexpr std::size_t TierCount = 4;
    static constexpr std::uint32_t NotFree = UINT32_MAX;

    struct Entry : Target {
        std::uint32_t freeTier = 0;
        std::uint32_t freePosition = NotFree;
    };
    struct Pool {
        std::array<std::vector<TargetIndex>, TierCount> free;
        PoolCapacity capacity;
    };

    TargetIndex addEntry(const TargetSpec &spec);
    std::uint32_t tierOf(const Target &target) const;
    std::optional<TargetIndex>
    chooseFrom(std::span<const TargetIndex> free, const Constraints &constraints, RandomEngine &random) const;
    std::optional<TargetIndex>
    firstEligible(std::span<const TargetIndex> free, std::size_t start, const Constraints &constraints) const;
    TargetIndex lessLoaded(TargetIndex a, TargetIndex b) const;
    template<typename Change>
    void changeEntry(TargetIndex index, Change change);
    void updateCapacity(const Target &target, int sign);
    void updateFree(TargetIndex index);
    void addFree(TargetIndex index);
    void removeFree(TargetIndex index);
    void recycleIfUnused(TargetIndex index);

    Base::AvailabilityZoneName m_zone;
    std::vector<Entry> m_entries;
    std::vector<TargetIndex> m_unused;
    std::vector<Pool> m_pools;
    boost::unordered_flat_map<TargetId, TargetIndex, std::hash<TargetId>> m_byId;
};

} // namespace Scheduling
