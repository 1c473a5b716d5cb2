#include "budget.h"

#include "fleetview.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Policy
{

namespace
{

constexpr Slots WholePerMille = 1000;

Slots valueOrZero(const auto &map, const auto &key)
{
    const auto it = map.find(key);
    return it == map.end() ? 0 : it->second;
}

Slots availableSlots(const Fleet::InstanceState &instance, const Fleet::InstanceReport *report)
{
    InstanceView view{.state = &instance};
    if (report) {
        view.platform = report->state;
        view.isEjected = report->isEjected;
    }
    return view.isAvailable() ? instance.declared.slots : 0;
}

Slots largestDomain(const auto &domains, const auto &stoppedIn, Slots stopped)
{
    Slots maxSlots = 0;
    for (const auto &[name, slots] : domains) {
        maxSlots = std::max(maxSlots, name == stoppedIn ? slots - stopped : slots);
    }
    return maxSlots;
}

std::set<Base::AvailabilityZoneName> zonesIn(const Fleet::FleetState &state)
{
    std::set<Base::AvailabilityZoneName> zones;
    for (const auto &[name, instance] : state.instances) {
        zones.insert(instance.declared.zone);
    }
    return zones;
}

} // namespace

/// Capacity that the document declares for one pool in one zone.
struct Budget::DeclaredZone {
    Slots slots = 0;
    std::map<Base::RackName, Slots> racks;

    Slots largestRack() const
    {
        return largestDomain(racks, Base::RackName{}, 0);
    }
};

struct Budget::DeclaredPool {
    std::map<Base::AvailabilityZoneName, DeclaredZone> zones;
    Slots smallestInstance = std::numeric_limits<Slots>::max();
};

Slots requiredSlots(Slots declared, Document::PerMille availability)
{
    return (declared * availability + WholePerMille - 1) / WholePerMille;
}

Budget::Budget(const Fleet::FleetState &state,
               Base::AvailabilityZoneName zone,
               std::span<const Fleet::InstanceReport> reports)
    : m_zone(std::move(zone))
{
    addServices(state.document);
    addDeclared(state);
    addAvailable(state, reports);
}

void Budget::addServices(const Document::Document &document)
{
    for (const Document::Service &it : document.services) {
        Requirement &requirement = m_pools[it.pool].requirement;
        if (it.zoneAvailability > requirement.zoneAvailability) {
            requirement.zoneAvailability = it.zoneAvailability;
            requirement.zoneService = it.name;
        }
        if (it.availability > requirement.availability) {
            requirement.availability = it.availability;
            requirement.service = it.name;
        }
        requirement.survivesZoneLoss |= it.survivesZoneLoss;
    }
}

void Budget::addDeclared(const Fleet::FleetState &state)
{
    std::map<Base::PoolName, DeclaredPool> pools;
    for (const Document::Instance &it : state.document.instances) {
        DeclaredPool &declared = pools[it.pool];
        DeclaredZone &zone = declared.zones[it.zone];
        const Slots slots = it.slots;
        zone.slots += slots;
        zone.racks[it.rack] += slots;
        declared.smallestInstance = std::min(declared.smallestInstance, slots);
    }
    const std::set<Base::AvailabilityZoneName> visible = zonesIn(state);
    for (const auto &[name, declared] : pools) {
        PoolEntry &entry = m_pools[name];
        for (const auto &[zone, it] : declared.zones) {
            entry.declared += it.slots;
            // The state may contain only this zone. Zones that are not visible stay within their own shares,
            // so their instances are counted as declared.
            if (zone != m_zone && !visible.contains(zone)) {
                entry.zones[zone] = it.slots;
                entry.largestRackElsewhere = std::max(entry.largestRackElsewhere, it.largestRack());
            }
        }
        const auto own = declared.zones.find(m_zone);
        entry.declaredInZone = own == declared.zones.end() ? 0 : own->second.slots;
        entry.maxUnavailableInZone = budgetShare(entry, declared);
    }
}

Slots Budget::budgetShare(const PoolEntry &entry, const DeclaredPool &declared) const
{
    const Requirement &requirement = entry.requirement;
    Slots reserve = 0;
    for (const auto &[zone, it] : declared.zones) {
        reserve = std::max(reserve, requirement.survivesZoneLoss ? it.slots : it.largestRack());
    }
    const Slots required = requiredSlots(entry.declared, requirement.availability);

    // A zone that meets its zone availability keeps at least that minimum plus one instance. If these amounts
    // already add up to the fleet-wide minimum, the budget needs no division into shares.
    Slots keptByZones = 0;
    for (const auto &[zone, it] : declared.zones) {
        const Slots kept = requiredSlots(it.slots, requirement.zoneAvailability) + declared.smallestInstance;
        keptByZones += std::min(it.slots, kept);
    }
    if (keptByZones - reserve >= required) {
        return entry.declaredInZone;
    }
    return allocatedShare(declared, entry.declared - required - reserve);
}

// Distributes the budget round-robin over the zones in whole instances, because no zone could use a share
// smaller than one instance. Every zone computes the same distribution from the same document, so no part of
// the budget is spent twice.
Slots Budget::allocatedShare(const DeclaredPool &declared, Slots spendable) const
{
    std::map<Base::AvailabilityZoneName, Slots> shares;
    const Slots unit = declared.smallestInstance;
    for (bool hasAllocated = true; hasAllocated;) {
        hasAllocated = false;
        for (const auto &[zone, it] : declared.zones) {
            Slots &share = shares[zone];
            if (unit > 0 && spendable >= unit && share + unit <= it.slots) {
                share += unit;
                spendable -= unit;
                hasAllocated = true;
            }
        }
    }
    return valueOrZero(shares, m_zone);
}

void Budget::addAvailable(const Fleet::FleetState &state, std::span<const Fleet::InstanceReport> reports)
{
    std::map<RackKey, Slots> elsewhere;
    for (const auto &[name, instance] : state.instances) {
        const Document::Instance &declared = instance.declared;
        const Slots slots = availableSlots(instance, findReport(reports, name));
        PoolEntry &entry = m_pools[instance.pool];
        entry.zones[declared.zone] += slots;
        if (declared.zone == m_zone) {
            entry.racks[declared.rack] += slots;
            m_instances.emplace(name, InstanceEntry{instance.pool, declared.rack, slots});
            continue;
        }
        Slots &rack = elsewhere[{instance.pool, declared.zone, declared.rack}];
        rack += slots;
        entry.largestRackElsewhere = std::max(entry.largestRackElsewhere, rack);
    }
}

BudgetCheck Budget::checkStop(const Base::InstanceName &instance) const
{
    const auto it = m_instances.find(instance);
    if (it == m_instances.end()) {
        return {false, fmt::format("instance {} is not in zone {}", instance.value, m_zone.value)};
    }
    return check(m_pools.at(it->second.pool), it->second.rack, it->second.availableSlots);
}

void Budget::markStopped(const Base::InstanceName &instance)
{
    const auto it = m_instances.find(instance);
    if (it == m_instances.end()) {
        return;
    }
    PoolEntry &entry = m_pools.at(it->second.pool);
    entry.racks[it->second.rack] -= it->second.availableSlots;
    entry.zones[m_zone] -= it->second.availableSlots;
    it->second.availableSlots = 0;
}

BudgetCheck Budget::checkPool(const Base::PoolName &pool) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end()) {
        return {};
    }
    return check(it->second, {}, 0);
}

Slots Budget::availableInRack(const Base::PoolName &pool, const Base::RackName &rack) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : valueOrZero(it->second.racks, rack);
}

Slots Budget::availableInZone(const Base::PoolName &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : valueOrZero(it->second.zones, m_zone);
}

BudgetCheck Budget::check(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const
{
    BudgetCheck result = checkZone(entry, rack, stopped);
    if (!result.isAllowed) {
        return result;
    }
    BudgetCheck share = checkShare(entry, stopped);
    if (!share.isAllowed) {
        return share;
    }
    BudgetCheck overall = checkOverall(entry, rack, stopped);
    return overall.isAllowed ? result : overall;
}

BudgetCheck Budget::checkZone(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const
{
    const Requirement &requirement = entry.requirement;
    const Slots required = requiredSlots(entry.declaredInZone, requirement.zoneAvailability);
    const Slots remaining = valueOrZero(entry.zones, m_zone) - stopped;
    const Slots domain = largestDomain(entry.racks, rack, stopped);
    BudgetCheck result;
    result.isAllowed = required == 0 || remaining - domain >= required;
    result.reason =
        fmt::format("zone {} keeps {} of {} slots, {} without its largest rack; service {} needs {}",
                    m_zone.value,
                    remaining,
                    entry.declaredInZone,
                    remaining - domain,
                    requirement.zoneService.value,
                    required);
    return result;
}

BudgetCheck Budget::checkShare(const PoolEntry &entry, Slots stopped) const
{
    if (entry.requirement.availability == 0) {
        return {};
    }
    const Slots missing = entry.declaredInZone - (valueOrZero(entry.zones, m_zone) - stopped);
    return {missing <= entry.maxUnavailableInZone,
            fmt::format("zone {} would miss {} slots; its share of the budget of service {} is {}",
                        m_zone.value,
                        missing,
                        entry.requirement.service.value,
                        entry.maxUnavailableInZone)};
}

BudgetCheck Budget::checkOverall(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const
{
    const Requirement &requirement = entry.requirement;
    const Slots required = requiredSlots(entry.declared, requirement.availability);
    Slots remaining = -stopped;
    for (const auto &[zone, slots] : entry.zones) {
        remaining += slots;
    }
    const Slots domain = requirement.survivesZoneLoss
        ? largestDomain(entry.zones, m_zone, stopped)
        : std::max(entry.largestRackElsewhere, largestDomain(entry.racks, rack, stopped));
    return {required == 0 || remaining - domain >= required,
            fmt::format("{} of {} slots stay over all zones, {} without the largest {}; service {} needs {}",
                        remaining,
                        entry.declared,
                        remaining - domain,
                        requirement.survivesZoneLoss ? "zone" : "rack",
                        requirement.service.value,
                        required)};
}

} // namespace Policy
