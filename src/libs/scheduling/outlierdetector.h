#pragma once

#include "schedulerlimits.h"
#include "targettable.h"

#include <base/instant.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Scheduling
{

/// Takes targets that fail much more often than their peers out of service for a while, never below what the
/// pool has to keep, and lets them back by probes.
class OutlierDetector
{
public:
    /// `targets` outlives the detector, which sets the standing of its entries.
    OutlierDetector(const OutlierLimits &limits, TargetTable &targets);

    /// A target joins a pool, or another instance took its place.
    void add(TargetIndex index);

    /// To be called before the target leaves its pool.
    void remove(TargetIndex index);

    /// The share of the pool's declared slots that has to stay in service. Returns targets to service when
    /// less than that is left.
    void setRequired(PoolIndex pool, Document::PerMille share);

    void addSuccess(TargetIndex index, Base::Instant now);
    void addFailure(TargetIndex index, Base::Instant now);

    /// Ends the ejections that are due; true when a target became ready for a probe.
    bool advance(Base::Instant now);
    std::optional<Base::Instant> nextDue(Base::Instant now) const;

    /// A target that waits for a probe. Requests that aren't idempotent are taken only when no other came for
    /// long.
    std::optional<TargetIndex> probeFor(PoolIndex pool, bool isIdempotent, Base::Instant now) const;
    bool hasProbing(PoolIndex pool) const;

    /// In service and answering most requests.
    bool isHealthy(TargetIndex index) const;

    std::uint32_t ejectedTargets(PoolIndex pool) const;
    std::uint32_t suspectTargets(PoolIndex pool) const;
    std::uint64_t ejections() const;

private:
    struct Health {
        double successRate = 1; ///< weighted towards the last outcomes
        std::uint32_t outcomes = 0;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejectionLevel = 0; ///< doubles the ejection time
        std::uint32_t probesAnswered = 0;
        Base::Instant ejectedUntil;
        Base::Instant probingSince;
        Base::Instant returnedAt;
        bool isPeer = false;
    };
    struct Pool {
        double successRates = 0; ///< sum over the peers
        std::uint32_t peers = 0;
        Document::PerMille required = 0;
        std::vector<TargetIndex> ejected;
        std::vector<TargetIndex> probing;
        std::uint32_t suspects = 0;
    };

    Pool &poolOf(TargetIndex index);
    const Pool &poolOf(TargetIndex index) const;
    void addOutcome(TargetIndex index, bool isSuccess);
    std::optional<double> peerSuccessRate(TargetIndex index) const;
    bool isOutlier(TargetIndex index) const;
    bool canEject(TargetIndex index) const;
    void eject(TargetIndex index, Base::Instant now);
    void returnToService(TargetIndex index, TargetStatus status, Base::Instant now);
    void setStatus(TargetIndex index, TargetStatus status);
    void joinPeers(TargetIndex index);
    void leavePeers(TargetIndex index);
    std::uint32_t requiredSlots(PoolIndex pool) const;

    OutlierLimits m_limits;
    TargetTable &m_targets;
    std::vector<Health> m_health;
    std::vector<Pool> m_pools;
    std::uint64_t m_ejections = 0;
};

} // namespace Scheduling
