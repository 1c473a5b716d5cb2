#pragma once

#include <document/delta.h>
#include <fleet/fleetstate.h>

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

namespace Replay
{

using Slots = std::int64_t;

/// A rack is a failure domain within its zone.
struct RackOfZone {
    Base::AvailabilityZoneName zone;
    Base::RackName rack;

    auto operator<=>(const RackOfZone &) const = default;
};

/// The slots that the document declares for one pool.
struct DeclaredSlots {
    Slots total = 0;
    Slots own = 0; ///< in the zone that is replayed
    std::map<Base::AvailabilityZoneName, Slots> otherZones;
    std::map<RackOfZone, Slots> racksOfOtherZones;
};

/// What the document declares, pool by pool; follows its edits at the cost of what they change.
class DeclaredFleet
{
public:
    DeclaredFleet(const Document::Document &document, Base::AvailabilityZoneName zone);

    /// To be called with each accepted edit.
    void apply(const Document::Delta &delta);

    const DeclaredSlots &of(const Base::PoolName &pool) const;

private:
    void add(const Document::Instance &instance);
    void remove(const Base::InstanceName &name);
    void count(const Document::Instance &instance, Slots slots);

    Base::AvailabilityZoneName m_zone;
    std::unordered_map<Base::InstanceName, Document::Instance> m_instances;
    std::map<Base::PoolName, DeclaredSlots> m_pools;
};

/// The slots that instances of the replayed zone have for one pool.
struct OwnSlots {
    Slots available = 0;
    Slots stopped = 0; ///< draining or rebooting
    Slots failed = 0; ///< by the record, or not healthy when last observed
    std::map<Base::RackName, Slots> racks; ///< available
};

/// The slots of the zone's instances, pool by pool; `unhealthy` ones are not available whatever their phase.
std::map<Base::PoolName, OwnSlots> ownSlotsOf(const Fleet::FleetState &state,
                                              const std::set<Base::InstanceName> &unhealthy);

/// The most slots that the loss of one rack would take, over all zones.
Slots largestRack(const OwnSlots &own, const DeclaredSlots &declared);

/// The most slots that the loss of one rack of the replayed zone would take.
Slots largestRack(const OwnSlots &own);

/// The most slots that the loss of one zone would take.
Slots largestZone(const OwnSlots &own, const DeclaredSlots &declared);

/// How many of `slots` an availability leaves at least, rounded up.
Slots requiredOf(Slots slots, Document::PerMille availability);

} // namespace Replay
