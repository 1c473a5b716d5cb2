#include "availability.h"

#include <algorithm>

namespace Replay
{

namespace
{

constexpr Slots WholePerMille = 1000;

template<typename Domains>
Slots largestOf(const Domains &domains)
{
    Slots most = 0;
    for (const auto &it : domains) {
        most = std::max(most, it.second);
    }
    return most;
}

struct RackOfPool {
    Base::PoolName pool;
    Base::AvailabilityZoneName zone;
    Base::RackName rack;

    auto operator<=>(const RackOfPool &) const = default;
};

void addOwn(PoolSlots &pool, const Fleet::InstanceState &instance, bool isHealthy)
{
    const Slots slots = instance.declared.slots;
    if (instance.phase == Fleet::InstancePhase::Serving && isHealthy) {
        pool.available += slots;
        pool.availableInZone += slots;
        pool.racksInZone[instance.declared.rack] += slots;
        pool.zones[instance.declared.zone] += slots;
    } else if (instance.phase == Fleet::InstancePhase::Failed || !isHealthy) {
        pool.failedInZone += slots;
    } else {
        pool.stoppedInZone += slots;
    }
}

} // namespace

Slots PoolSlots::largestRack() const
{
    return std::max(largestRackInZone(), largestRackElsewhere);
}

Slots PoolSlots::largestRackInZone() const
{
    return largestOf(racksInZone);
}

Slots PoolSlots::largestZone() const
{
    return largestOf(zones);
}

std::map<Base::PoolName, PoolSlots> slotsOf(const Fleet::FleetState &state,
                                            const std::set<Base::InstanceName> &unhealthy)
{
    std::map<Base::PoolName, PoolSlots> pools;
    std::map<RackOfPool, Slots> elsewhere;
    for (const Document::Instance &it : state.document.instances) {
        PoolSlots &pool = pools[it.pool];
        pool.declared += it.slots;
        if (it.zone == state.zone) {
            pool.declaredInZone += it.slots;
            continue;
        }
        pool.available += it.slots;
        pool.zones[it.zone] += it.slots;
        Slots &rack = elsewhere[{it.pool, it.zone, it.rack}];
        rack += it.slots;
        pool.largestRackElsewhere = std::max(pool.largestRackElsewhere, rack);
    }
    for (const auto &it : state.instances) {
        addOwn(pools[it.second.pool], it.second, !unhealthy.contains(it.first));
    }
    return pools;
}

Slots requiredOf(Slots slots, Document::PerMille availability)
{
    return (slots * availability + WholePerMille - 1) / WholePerMille;
}

} // namespace Replay
