#pragma once

#include <fleet/observations.h>
#include <peering/peerreport.h>

#include <cstdint>
#include <vector>

namespace Control
{

/// What this entry instance's request plane carries now.
struct PlaneLoad {
    std::vector<Fleet::PoolDemand> demands;
    std::vector<Peering::InstanceLoad> instances; ///< those with requests in flight
    std::uint64_t slots = 0; ///< that this entry instance may use now, over all pools
};

} // namespace Control
