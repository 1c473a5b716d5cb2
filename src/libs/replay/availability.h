#pragma once

#include <fleet/fleetstate.h>
#include <fleet/observations.h>

#include <cstdint>
#include <map>
#include <set>

namespace Replay
{

using Slots = std::int64_t;

/// The slots of one pool by what they can be counted on for.
struct PoolSlots {
    Slots declared = 0; ///< by the document, over all zones
    Slots declaredInZone = 0;
    Slots available = 0; ///< over all zones; those of other zones count as declared
    Slots availableInZone = 0;
    Slots stoppedInZone = 0; ///< draining or rebooting
    Slots failedInZone = 0; ///< failed by the record, or not healthy when last observed
    std::map<Base::RackName, Slots> racksInZone; ///< available
    std::map<Base::AvailabilityZoneName, Slots> zones; ///< available
    Slots largestRackElsewhere = 0; ///< available

    /// The most that the loss of one rack of any zone would take.
    Slots largestRack() const;
    /// The most that the loss of one rack of this zone would take.
    Slots largestRackInZone() const;
    Slots largestZone() const;
};

/// The slots of every pool as one zone's state has them; `unhealthy` are not available whatever their phase.
std::map<Base::PoolName, PoolSlots> slotsOf(const Fleet::FleetState &state,
                                            const std::set<Base::InstanceName> &unhealthy);

/// How many of `slots` an availability leaves at least, rounded up.
Slots requiredOf(Slots slots, Document::PerMille availability);

} // namespace Replay
