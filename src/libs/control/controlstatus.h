#pragma once

#include <base/names.h>
#include <fleet/fleetstate.h>

#include <cstdint>
#include <string>

namespace Control
{

/// What the control duty tells others of itself; replaced as a whole.
struct ControlStatus {
    Base::MemberName member;
    bool isReady = false; ///< folded up to the log's end as seen at the start
    bool isPlatformReachable = false;
    std::uint64_t commonAppliedTo = 0;
    std::uint64_t zoneAppliedTo = 0;
    std::uint64_t documentOffset = 0; ///< of the edit in force
    std::size_t instances = 0;
    std::size_t drainingInstances = 0;
    std::size_t openMoves = 0;
    std::string planner; ///< the zone's planner, if any
    std::uint64_t pendingAppends = 0;
};

} // namespace Control
