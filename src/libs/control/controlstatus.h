#pragma once

#include <base/names.h>
#include <fleet/fleetstate.h>

#include <cstdint>
#include <string>

namespace Control
{

/// Status snapshot that the control plane publishes to other threads; always replaced as a whole.
struct ControlStatus {
    Base::MemberName member;
    bool isReady = false; ///< has become a member or adopted a peer's state
    bool isPlatformReachable = false;
    std::uint64_t commonAppliedTo = 0;
    std::uint64_t zoneAppliedTo = 0;
    std::uint64_t documentOffset = 0; ///< offset of the active document edit
    std::size_t instances = 0;
    std::size_t drainingInstances = 0;
    std::size_t openMoves = 0;
    std::string planner; ///< member that holds the zone's planner lease; empty if none
    std::uint64_t pendingAppends = 0;
};

} // namespace Control
