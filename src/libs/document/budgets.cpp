#include "budgets.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace Document
{

namespace
{

constexpr std::uint64_t Whole = 1000; // per mille

/// Slots of a pool, or of its part in one zone, by failure domain.
struct Capacity {
    std::uint64_t slots = 0;
    std::map<Base::RackName, std::uint64_t> racks;
    std::map<Base::AvailabilityZoneName, std::uint64_t> zones;
};

template<typename Name>
std::uint64_t largest(const std::map<Name, std::uint64_t> &domains)
{
    std::uint64_t most = 0;
    for (const auto &[name, slots] : domains) {
        most = std::max(most, slots);
    }
    return most;
}

/// What is left of the whole, rounded down so that a budget is never met by rounding.
std::uint64_t perMilleLeft(std::uint64_t slots, std::uint64_t lost)
{
    return slots == 0 ? 0 : (slots - lost) * Whole / slots;
}

class BudgetCheck
{
public:
    explicit BudgetCheck(const Document &document)
        : m_document(document)
    {
        for (const Instance &it : document.instances) {
            add(m_pools[it.pool], it);
            add(m_parts[std::pair(it.pool, it.zone)], it);
        }
    }

    std::vector<Ini::Mistake> run()
    {
        for (const Service &it : m_document.services) {
            checkWhole(it);
            checkZones(it);
        }
        return std::move(m_mistakes);
    }

private:
    static void add(Capacity &capacity, const Instance &instance)
    {
        capacity.slots += instance.slots;
        capacity.racks[instance.rack] += instance.slots;
        capacity.zones[instance.zone] += instance.slots;
    }

    void checkWhole(const Service &service)
    {
        const Capacity &pool = m_pools[service.pool];
        if (pool.slots == 0) {
            report(service,
                   "pool",
                   fmt::format("pool '{}' has no instances", service.pool.value),
                   "at least one");
            return;
        }
        check(service, perMilleLeft(pool.slots, largest(pool.racks)), "rack");
        if (service.survivesZoneLoss) {
            check(service, perMilleLeft(pool.slots, largest(pool.zones)), "zone");
        }
    }

    void check(const Service &service, std::uint64_t left, std::string_view domain)
    {
        if (left < service.availability) {
            const std::string what = fmt::format("pool '{}' keeps {} without its largest {}, not {}",
                                                 service.pool.value,
                                                 left,
                                                 domain,
                                                 service.availability);
            report(service, "availability_per_mille", what, fmt::format("at most {}", left));
        }
    }

    void checkZones(const Service &service)
    {
        if (service.zoneAvailability == 0) {
            return;
        }
        for (const Base::AvailabilityZoneName &zone : m_document.zones) {
            const Capacity &part = m_parts[std::pair(service.pool, zone)];
            const std::uint64_t left = perMilleLeft(part.slots, largest(part.racks));
            if (left < service.zoneAvailability) {
                const std::string what =
                    fmt::format("pool '{}' keeps {} in zone '{}' without its largest rack there, not {}",
                                service.pool.value,
                                left,
                                zone.value,
                                service.zoneAvailability);
                report(service, "zone_availability_per_mille", what, fmt::format("at most {}", left));
            }
        }
    }

    void report(const Service &service, std::string_view key, std::string what, std::string allowed)
    {
        m_mistakes.push_back(
            {{}, 0, "service " + service.name.value, std::string(key), std::move(what), std::move(allowed)});
    }

    const Document &m_document;
    std::map<Base::PoolName, Capacity> m_pools;
    std::map<std::pair<Base::PoolName, Base::AvailabilityZoneName>, Capacity> m_parts; ///< by zone
    std::vector<Ini::Mistake> m_mistakes;
};

} // namespace

std::vector<Ini::Mistake> unmetBudgets(const Document &document)
{
    return BudgetCheck(document).run();
}

} // namespace Document
