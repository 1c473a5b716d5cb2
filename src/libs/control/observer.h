#pragma once

#include "peerwatch.h"
#include "planeload.h"

#include <fleet/observations.h>
#include <platform/messages.h>

#include <map>
#include <vector>

namespace Control
{

/// Everything that the observations of one planner pass are made of.
struct ObservationSources {
    Base::Instant at;
    bool isPlatformReachable = false;
    const PeerWatch &peers;
    const PlaneLoad &ownLoad;
    const std::map<Base::InstanceName, Fleet::PlatformState> &platformStates;
    const std::vector<Fleet::ActionReport> &actionReports;
};

/// Sums what the zone's entry instances report, and joins it with the platform's list.
Fleet::Observations observe(const Fleet::FleetState &state, const ObservationSources &sources);

} // namespace Control
