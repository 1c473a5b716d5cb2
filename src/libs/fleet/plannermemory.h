#pragma once

#include "fleetstate.h"
#include "observations.h"

#include <base/instant.h>
#include <base/names.h>

#include <map>
#include <optional>
#include <vector>

namespace Fleet
{

/// Moving averages of a pool's interactive and urgent demand in slots: `fast` follows bursts of seconds,
/// `slow` lasting demand. `peak` is the recent maximum of `slow`; it decays on a third time scale, so that
/// the rise of `slow` during bursts is forgotten.
struct DemandEstimate {
    Base::PoolName pool;
    double fast = 0;
    double slow = 0;
    double peak = 0; ///< recent maximum of `slow`
    Base::Duration seenFor{}; ///< how long the pool has been observed
    double shortage = 0; ///< instance-seconds missing since the pool last had enough
    double excess = 0; ///< instance-seconds held beyond need since the pool last needed them

    bool operator==(const DemandEstimate &) const = default;
};

struct DemandMemory {
    std::optional<Base::Instant> at; ///< of the last update
    std::vector<DemandEstimate> pools; ///< sorted by pool

    bool operator==(const DemandMemory &) const = default;
};

/// The planner's data about one open action; times are on its own clock.
struct ActionMemory {
    Base::Instant firstSeen;
    std::optional<Base::Instant> rebootSeen; ///< first seen as rebooting
    bool wasDown = false; ///< was not live on the platform at some time after the reboot request

    bool operator==(const ActionMemory &) const = default;
};

/// The health of an instance and the time since when it has not changed.
struct HealthMemory {
    bool isHealthy = true;
    Base::Instant since;

    bool operator==(const HealthMemory &) const = default;
};

/// The state that a planner keeps between passes besides the FleetState. It is recorded with the
/// observations, because passes without decisions are not recorded. It is discarded with the lease; all
/// waiting periods then restart, which only delays planned actions.
struct PlannerMemory {
    Offset term; ///< the term in which it was collected
    std::optional<Offset> lastDecisionOffset; ///< FleetState::appliedTo of the latest pass with a decision
    std::vector<InstanceReport> reports; ///< the latest of each instance, sorted by instance
    std::map<ActionId, ActionMemory> actions;
    std::map<Base::MemberName, Base::Instant> absentSince; ///< members that the platform doesn't list
    std::map<Base::InstanceName, HealthMemory>
        health; ///< of instances that are unhealthy or have failed according to the log
    DemandMemory demand;

    bool operator==(const PlannerMemory &) const = default;
};

} // namespace Fleet
