#pragma once

#include "peermonitor.h"
#include "requestplaneload.h"

#include <fleet/observations.h>
#include <platform/messages.h>

#include <map>
#include <vector>

namespace Control
{

/// Inputs from which the observations of one planner pass are computed.
struct ObservationSources {
    Base::Instant at;
    bool isPlatformReachable = false;
    const PeerMonitor &peers;
    const RequestPlaneLoad &ownLoad;
    const std::map<Base::InstanceName, Fleet::PlatformState> &platformStates;
    const std::vector<Fleet::ActionReport> &actionReports;
};

/// Sums the reports of the zone's entry instances and combines them with the platform's instance list.
Fleet::Observations observe(const Fleet::FleetState &state, const ObservationSources &sources);

} // namespace Control
