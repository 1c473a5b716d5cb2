#pragma once

#include "demandestimate.h"

#include <base/instant.h>
#include <base/names.h>
#include <fleet/fleetstate.h>
#include <fleet/observations.h>

#include <map>
#include <optional>
#include <vector>

namespace Policy
{

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

/// What a planner carries from one pass to the next besides the FleetState. It is lost with the lease; every
/// wait begins anew then, which only delays planned actions.
struct PlannerMemory {
    Fleet::Offset term; ///< under which it was gathered
    std::optional<Fleet::Offset> decidedAt; ///< FleetState::appliedTo of the last pass that decided something
    std::vector<Fleet::InstanceReport> reports; ///< the last of each instance, sorted
    std::map<Fleet::ActionId, ActionMemory> actions;
    std::map<Base::MemberName, Base::Instant> goneSince; ///< members that the platform doesn't list
    std::map<Base::InstanceName, HealthMemory> health; ///< of those not healthy, or failed by the record
    DemandMemory demand;

    bool operator==(const PlannerMemory &) const = default;
};

} // namespace Policy
