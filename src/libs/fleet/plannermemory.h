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

/// The demand of one pool in slots, interactive and urgent, learned on two time scales: `fast` follows surges
/// of seconds, `slow` what lasts. The third, of `peak`, forgets how far surges lift `slow`.
struct DemandEstimate {
    Base::PoolName pool;
    double fast = 0;
    double slow = 0;
    double peak = 0; ///< the highest that `slow` was of late
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

/// What a planner remembers of one open action; times are on its own clock.
struct ActionMemory {
    Base::Instant firstSeen;
    std::optional<Base::Instant> rebootSeen; ///< first seen as rebooting
    bool wasDown = false; ///< not live on the platform since the reboot was asked for

    bool operator==(const ActionMemory &) const = default;
};

/// Since when one instance has been as it is without a break.
struct HealthMemory {
    bool isHealthy = true;
    Base::Instant since;

    bool operator==(const HealthMemory &) const = default;
};

/// What a planner carries from one pass to the next besides the FleetState. It is recorded with what it saw,
/// since passes that decide nothing leave no record. It is lost with the lease; every wait begins anew then,
/// which only delays planned actions.
struct PlannerMemory {
    Offset term; ///< under which it was gathered
    std::optional<Offset>
        lastDecisionOffset; ///< FleetState::appliedTo of the last pass that decided something
    std::vector<InstanceReport> reports; ///< the last of each instance, sorted
    std::map<ActionId, ActionMemory> actions;
    std::map<Base::MemberName, Base::Instant> absentSince; ///< members that the platform doesn't list
    std::map<Base::InstanceName, HealthMemory> health; ///< of those not healthy, or failed by the record
    DemandMemory demand;

    bool operator==(const PlannerMemory &) const = default;
};

} // namespace Fleet
