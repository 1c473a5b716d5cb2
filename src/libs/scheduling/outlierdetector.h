#pragma once

#include "schedulerlimits.h"
#include "targettable.h"

#include <base/instant.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Scheduling
{

/// Temporarily ejects targets that fail much more often than their peers, and returns them to service after
/// successful probes. An ejection never leaves less than the required share of the pool's slots in service.
class OutlierDetector
{
public:
    /// `targets` must outlive the detector, which sets the status of its entries.
    OutlierDetector(const OutlierLimits &limits, TargetTable &targets);

    /// Adds a target that is new in its pool, or resets it after its instance was replaced.
    void add(TargetIndex index);

    /// Must be called before the target is removed from its pool.
    void remove(TargetIndex index);

    /// Sets the share of the pool's declared slots that must stay in service. Returns ejected targets to
    /// service while less than that is in service.
    void setRequired(PoolIndex pool, Document::PerMille share);

    void addSuccess(TargetIndex index, Base::Instant now);
    void addFailure(TargetIndex index, Base::Instant now);

    /// Ends the ejections that are due. Returns true if a target became ready for a probe.
    bool advance(Base::Instant now);
    std::optional<Base::Instant> nextDue(Base::Instant now) const;

    /// Returns a target that waits for a probe. Non-idempotent requests are used as probes only if there was
    /// no idempotent one for nonIdempotentProbeDelay.
    std::optional<TargetIndex> probeFor(PoolIndex pool, bool isIdempotent, Base::Instant now) const;
    bool hasProbing(PoolIndex pool) const;

    /// True if the target is in service and answers most requests.
    bool isHealthy(TargetIndex index) const;

    std::uint32_t ejectedTargets(PoolIndex pool) const;
    std::uint32_t suspectTargets(PoolIndex pool) const;
    std::uint64_t ejections() const;

private:
    struct Health {
        double successRate = 1; ///< exponentially weighted moving average
        std::uint32_t outcomes = 0;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t ejectionLevel = 0; ///< each level doubles the ejection time
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
