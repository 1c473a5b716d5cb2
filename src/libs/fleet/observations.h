#pragma once

#include "fleetstate.h"

#include <base/instant.h>
#include <base/names.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fleet
{

/// What one zone's entry instances report of one pool, summed, averaged over the last reporting period.
struct PoolDemand {
    Base::PoolName pool;
    double busySlots = 0; ///< slots executing interactive and urgent requests
    double busyBatchSlots = 0;
    double queuedRequests = 0; ///< interactive and urgent ones that wait
    double queuedBatch = 0;

    bool operator==(const PoolDemand &) const = default;
};

enum class PlatformState { Live, Leaving, Gone };

/// What is known of one instance apart from the record; the platform's list lags.
struct InstanceReport {
    Base::InstanceName instance;
    PlatformState state = PlatformState::Live;
    std::uint32_t inFlight = 0; ///< requests in flight on it, over the zone's entry instances
    bool isEjected = false; ///< by outlier detection, on most entry instances

    bool operator==(const InstanceReport &) const = default;
};

enum class ActionResult { Completed, Rejected };

/// What the platform says of a reboot that it was asked for; nothing is known of one that is missing.
struct ActionReport {
    ActionId action;
    ActionResult result = ActionResult::Completed;
    std::string detail;

    bool operator==(const ActionReport &) const = default;
};

/// All that a planner pass sees besides the FleetState. It is recorded with the decisions it led to.
struct Observations {
    Base::Instant at; ///< on the planner's own clock
    bool isPlatformReachable = true;
    bool arePeersReachable = true; ///< every live member of the zone answered
    std::vector<PoolDemand> demands; ///< sorted by pool
    std::vector<InstanceReport> instances; ///< sorted by instance; one that is missing is as before
    std::vector<ActionReport> actions; ///< sorted by action
    std::vector<Base::MemberName> liveMembers; ///< sorted; the platform's list of entry instances

    bool operator==(const Observations &) const = default;
};

} // namespace Fleet
