#pragma once

#include <fleet/observations.h>
#include <peering/peerreport.h>

#include <vector>

namespace Control
{

/// Current load of the request plane of this entry instance.
struct RequestPlaneLoad {
    std::vector<Fleet::PoolDemand> demands;
    std::vector<Peering::InstanceLoad> instances; ///< only instances with requests in flight
};

} // namespace Control
