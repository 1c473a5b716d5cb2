#include "consistency.h"

#include <ini/values.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace Document
{

namespace
{

template<typename Name>
bool isAmong(const std::vector<Name> &known, const Name &name)
{
    return std::find(known.begin(), known.end(), name) != known.end();
}

template<typename Name>
std::string hint(const std::vector<Name> &known, const Name &name)
{
    std::vector<std::string> texts;
    texts.reserve(known.size());
    for (const Name &it : known) {
        texts.push_back(it.value);
    }
    const auto nearest = Ini::nearest(name.value, texts);
    return nearest ? fmt::format("did you mean '{}'?", *nearest)
                   : fmt::format("one of {}", fmt::join(texts, ", "));
}

class ConsistencyCheck
{
public:
    explicit ConsistencyCheck(const Document &document)
        : m_document(document)
    {
        for (const Pool &it : document.pools) {
            m_pools.push_back(it.name);
        }
    }

    std::vector<Ini::Mistake> run()
    {
        checkZones();
        checkSparePool();
        for (const Instance &it : m_document.instances) {
            checkInstance(it);
        }
        for (const Service &it : m_document.services) {
            checkService(it);
        }
        checkMaintenance();
        return std::move(m_mistakes);
    }

private:
    void checkZones()
    {
        std::set<Base::AvailabilityZoneName> seen;
        for (const Base::AvailabilityZoneName &it : m_document.zones) {
            if (!seen.insert(it).second) {
                report("environment", "zones", fmt::format("zone '{}' is there twice", it.value), "once");
            }
        }
    }

    void checkSparePool()
    {
        const Pool *spare = nullptr;
        for (const Pool &it : m_document.pools) {
            if (it.isSpare && spare) {
                const std::string what = fmt::format("pool '{}' is spare already", spare->name.value);
                report("pool " + it.name.value, "spare", what, "exactly one spare pool");
            }
            spare = it.isSpare && !spare ? &it : spare;
        }
        if (!spare) {
            report("", "", "no pool is spare", "exactly one spare pool");
        }
    }

    void checkInstance(const Instance &instance)
    {
        const std::string section = "instance " + instance.name.value;
        checkPool(section, "pool", instance.pool);
        // Without any zone, [environment] is to blame and reported.
        if (!m_document.zones.empty() && !isAmong(m_document.zones, instance.zone)) {
            const std::string what = fmt::format("unknown zone '{}'", instance.zone.value);
            report(section, "zone", what, hint(m_document.zones, instance.zone));
        }
        if (instance.connections < instance.slots) {
            const std::string what =
                fmt::format("{} connections can't fill {} slots", instance.connections, instance.slots);
            report(section, "connections", what, fmt::format("at least {}", instance.slots));
        }
        checkAddress(section, instance);
        checkRack(section, instance);
    }

    void checkAddress(const std::string &section, const Instance &instance)
    {
        const Ini::Endpoint endpoint{instance.address, instance.port};
        const auto [it, isNew] = m_addresses.emplace(endpoint, &instance);
        if (!isNew && !instance.address.empty()) {
            const std::string what = fmt::format(
                "{} is the address of instance '{}'", Ini::toString(endpoint), it->second->name.value);
            report(section, "address", what, "an address and port of its own");
        }
    }

    // A rack is a failure domain within a zone.
    void checkRack(const std::string &section, const Instance &instance)
    {
        const auto [it, isNew] = m_racks.emplace(instance.rack, &instance);
        if (!isNew && !instance.rack.isEmpty() && it->second->zone != instance.zone) {
            const std::string what = fmt::format("rack '{}' is in zone '{}' for instance '{}'",
                                                 instance.rack.value,
                                                 it->second->zone.value,
                                                 it->second->name.value);
            report(section, "rack", what, "a rack is in one zone");
        }
    }

    void checkService(const Service &service)
    {
        const std::string section = "service " + service.name.value;
        checkPool(section, "pool", service.pool);
        for (const Route &route : service.routes) {
            const auto [it, isNew] = m_routes.emplace(route.pathPrefix, &service);
            if (!isNew) {
                const std::string what = fmt::format(
                    "prefix {} is a route of service '{}'", route.pathPrefix, it->second->name.value);
                report(section, "routes", what, "a prefix belongs to one service");
            }
        }
        // A drain that ends before the last request would cut it.
        if (service.deadline > m_document.maintenance.drainTimeout) {
            const std::string what =
                fmt::format("{} ms is longer than a drain may take", service.deadline.count());
            const auto most = m_document.maintenance.drainTimeout.count();
            report(section,
                   "deadline_ms",
                   what,
                   fmt::format("at most maintenance.drain_timeout_ms, {} ms", most));
        }
    }

    void checkMaintenance()
    {
        std::set<Base::PoolName> seen;
        for (const Base::PoolName &it : m_document.maintenance.wave) {
            checkPool("maintenance", "wave", it);
            if (!seen.insert(it).second) {
                report("maintenance", "wave", fmt::format("pool '{}' is there twice", it.value), "once");
            }
        }
    }

    void checkPool(std::string_view section, std::string_view key, const Base::PoolName &pool)
    {
        if (!isAmong(m_pools, pool)) {
            report(section, key, fmt::format("unknown pool '{}'", pool.value), hint(m_pools, pool));
        }
    }

    void report(std::string_view section, std::string_view key, std::string what, std::string allowed)
    {
        m_mistakes.push_back(
            {{}, 0, std::string(section), std::string(key), std::move(what), std::move(allowed)});
    }

    const Document &m_document;
    std::vector<Base::PoolName> m_pools;
    std::map<Ini::Endpoint, const Instance *> m_addresses;
    std::map<Base::RackName, const Instance *> m_racks;
    std::map<std::string, const Service *> m_routes;
    std::vector<Ini::Mistake> m_mistakes;
};

} // namespace

std::vector<Ini::Mistake> inconsistencies(const Document &document)
{
    return ConsistencyCheck(document).run();
}

} // namespace Document
