#pragma once

#include <fleet/observations.h>
#include <peering/peerreport.h>

#include <vector>

namespace Control
{

/// What this entry instance's request plane carries now.
struct PlaneLoad {
    std::vector<Fleet::PoolDemand> demands;
    std::vector<Peering::InstanceLoad> instances; ///< those with requests in flight
};

} // namespace Control
