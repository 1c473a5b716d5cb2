#pragma once

#include "fleetstate.h"

#include <base/instant.h>
#include <base/names.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fleet
{

/// The load of a pool: averages over the last reporting period, summed over the zone's entry instances.
struct PoolDemand {
    Base::PoolName pool;
    double busySlots = 0; ///< slots executing interactive and urgent requests
    double busyBatchSlots = 0;
    double queuedRequests = 0; ///< interactive and urgent
    double queuedBatch = 0;

    bool operator==(const PoolDemand &) const = default;
};

enum class PlatformState { Live, Leaving, Gone };

/// The observed state of an instance, independent of the log. The platform's list may be out of date.
struct InstanceReport {
    Base::InstanceName instance;
    PlatformState state = PlatformState::Live;
    std::uint32_t inFlight = 0; ///< requests in flight on it, over the zone's entry instances
    bool isEjected = false; ///< by outlier detection, on most entry instances

    bool operator==(const InstanceReport &) const = default;
};

enum class ActionResult { Completed, Rejected };

/// The platform's result of a requested reboot; without a report, the result is unknown.
struct ActionReport {
    ActionId action;
    ActionResult result = ActionResult::Completed;
    std::string detail;

    bool operator==(const ActionReport &) const = default;
};

/// The input of a planner pass besides the FleetState. It is recorded with the resulting decisions.
struct Observations {
    Base::Instant at; ///< on the planner's own clock
    bool isPlatformReachable = true;
    bool arePeersReachable = true; ///< every live member of the zone answered
    std::vector<PoolDemand> demands; ///< sorted by pool
    std::vector<InstanceReport> instances; ///< sorted by instance; a missing one is unchanged
    std::vector<ActionReport> actions; ///< sorted by action
    std::vector<Base::MemberName> liveMembers; ///< sorted; the platform's list of entry instances

    bool operator==(const Observations &) const = default;
};

} // namespace Fleet
