#include "availability.h"

#include <algorithm>
#include <utility>

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

void addTo(OwnSlots &pool, const Fleet::InstanceState &instance, bool isHealthy)
{
    const Slots slots = instance.declared.slots;
    if (instance.phase == Fleet::InstancePhase::Serving && isHealthy) {
        pool.available += slots;
        pool.racks[instance.declared.rack] += slots;
    } else if (instance.phase == Fleet::InstancePhase::Failed || !isHealthy) {
        pool.failed += slots;
    } else {
        pool.stopped += slots;
    }
}

} // namespace

DeclaredFleet::DeclaredFleet(const Document::Document &document, Base::AvailabilityZoneName zone)
    : m_zone(std::move(zone))
{
    for (const Document::Instance &it : document.instances) {
        add(it);
    }
}

void DeclaredFleet::apply(const Document::Delta &delta)
{
    for (const Base::InstanceName &it : delta.removedInstances) {
        remove(it);
    }
    for (const Document::Instance &it : delta.setInstances) {
        remove(it.name);
        add(it);
    }
}

const DeclaredSlots &DeclaredFleet::of(const Base::PoolName &pool) const
{
    static const DeclaredSlots None;
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? None : it->second;
}

void DeclaredFleet::add(const Document::Instance &instance)
{
    count(instance, instance.slots);
    m_instances.emplace(instance.name, instance);
}

void DeclaredFleet::remove(const Base::InstanceName &name)
{
    const auto it = m_instances.find(name);
    if (it != m_instances.end()) {
        count(it->second, -Slots{it->second.slots});
        m_instances.erase(it);
    }
}

void DeclaredFleet::count(const Document::Instance &instance, Slots slots)
{
    DeclaredSlots &pool = m_pools[instance.pool];
    pool.total += slots;
    if (instance.zone == m_zone) {
        pool.own += slots;
        return;
    }
    pool.otherZones[instance.zone] += slots;
    pool.racksOfOtherZones[{instance.zone, instance.rack}] += slots;
}

std::map<Base::PoolName, OwnSlots> ownSlotsOf(const Fleet::FleetState &state,
                                              const std::set<Base::InstanceName> &unhealthy)
{
    std::map<Base::PoolName, OwnSlots> pools;
    for (const auto &it : state.instances) {
        addTo(pools[it.second.pool], it.second, !unhealthy.contains(it.first));
    }
    return pools;
}

Slots largestRack(const OwnSlots &own, const DeclaredSlots &declared)
{
    return std::max(largestRack(own), largestOf(declared.racksOfOtherZones));
}

Slots largestRack(const OwnSlots &own)
{
    return largestOf(own.racks);
}

Slots largestZone(const OwnSlots &own, const DeclaredSlots &declared)
{
    return std::max(own.available, largestOf(declared.otherZones));
}

Slots requiredOf(Slots slots, Document::PerMille availability)
{
    return (slots * availability + WholePerMille - 1) / WholePerMille;
}

} // namespace Replay
