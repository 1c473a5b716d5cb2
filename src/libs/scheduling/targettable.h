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
    Suspect, ///< an outlier that can't be ejected, since the pool needs its slots: chosen last
    Ejected, ///< gets no requests
    Probing, ///< gets one request at a time
};

struct Target {
    TargetSpec spec;
    PoolIndex pool = 0;
    std::optional<Allowance> allowance; ///< all of the target's slots if not set
    std::uint32_t inFlight = 0;
    std::uint32_t inFlightBeyondLoan = 0; ///< those that may end after the borrowed slots expire
    TargetStatus status = TargetStatus::InService;
    bool isRetired = false; ///< removed from the fleet; its requests in flight are completed
    bool isListed = false; ///< part of the fleet that is being set

    /// The maximum number of requests that this entry instance may have in flight on the target.
    std::uint32_t limit() const;

    /// True if a request that ends by `attemptDeadline` may use a borrowed slot.
    bool endsWithinLoan(Base::Instant attemptDeadline) const;

    /// True if there is a free slot for a request that ends by `attemptDeadline`.
    bool canTake(Base::Instant attemptDeadline) const;

    bool isInService() const;
};

struct PoolCapacity {
    std::uint32_t targets = 0;
    std::uint32_t declaredSlots = 0; ///< over all entry instances, draining targets included
    std::uint32_t inServiceSlots = 0; ///< over all entry instances, on targets in service
    std::uint32_t slots = 0; ///< this entry instance's allowance, on targets in service
    std::uint32_t usableTargets = 0; ///< in service and with an allowance
};

/// The targets with their number of requests in flight. Free targets are indexed by pool, so that the cost of
/// choosing one doesn't depend on the size of the pool.
class TargetTable
{
public:
    explicit TargetTable(Base::AvailabilityZoneName zone);

    /// The conditions that a target has to meet for a request.
    struct Constraints {
        const FailedAttempts &excluded;
        Base::Instant attemptDeadline;
    };

    struct UpdateResult {
        TargetIndex index = 0;
        bool isNew = false; ///< added, or its instance or pool changed
    };

    /// Adds or changes a target. Its requests in flight remain counted.
    UpdateResult addOrUpdate(const TargetSpec &spec, PoolIndex pool);

    /// Retires and returns the targets that were not passed to addOrUpdate() since the last call.
    std::vector<TargetIndex> retireUnlisted();

    void setAllowance(TargetIndex index, const Allowance &allowance);
    void setStatus(TargetIndex index, TargetStatus status);

    /// Returns the less loaded of two free targets that are drawn at random. Targets in the own zone are
    /// preferred, suspects are chosen last. Returns nothing if no free target meets the constraints.
    std::optional<TargetIndex>
    choose(PoolIndex pool, const Constraints &constraints, RandomEngine &random) const;

    void occupy(TargetIndex index, bool endsWithinLoan);
    void release(TargetIndex index, bool endsWithinLoan);

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
