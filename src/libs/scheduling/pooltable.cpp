#include "pooltable.h"

#include <algorithm>

namespace Scheduling
{

PoolTable::PoolTable(const SchedulerLimits &limits)
    : m_limits(limits)
{
}

void PoolTable::setServices(std::span<const ServiceSpec> services)
{
    for (PoolState &pool : m_pools) {
        pool.services.clear();
    }
    for (const ServiceSpec &spec : services) {
        const ServiceIndex index = findOrAddService(spec.id);
        ServiceState &service = m_services[index];
        service.spec = spec;
        service.pool = findOrAddPool(spec.pool);
        service.isRetired = false;
        service.isListed = true;
        m_pools[service.pool].services.push_back(index);
        // Queued requests move to the new pool with their service.
        for (Lane &lane : service.lanes) {
            for (Request &it : lane.queue) {
                it.pool = service.pool;
            }
        }
    }
    retireUnlisted();
}

PoolIndex PoolTable::findOrAddPool(const Base::PoolName &name)
{
    const auto [it, isNew] = m_poolByName.try_emplace(name, static_cast<PoolIndex>(m_pools.size()));
    if (!isNew) {
        return it->second;
    }
    if (m_unusedPools.empty()) {
        m_pools.emplace_back(m_limits);
    } else {
        it->second = m_unusedPools.back();
        m_unusedPools.pop_back();
    }
    m_pools[it->second].name = name;
    return it->second;
}

std::optional<ServiceIndex> PoolTable::find(ServiceId id) const
{
    const auto it = m_serviceById.find(id);
    return it == m_serviceById.end() ? std::nullopt : std::optional{it->second};
}

void PoolTable::recycle(PoolIndex index)
{
    m_poolByName.erase(m_pools[index].name);
    m_pools[index] = PoolState{m_limits};
    m_unusedPools.push_back(index);
}

std::deque<PoolState> &PoolTable::pools()
{
    return m_pools;
}

const std::deque<PoolState> &PoolTable::pools() const
{
    return m_pools;
}

std::deque<ServiceState> &PoolTable::services()
{
    return m_services;
}

const std::deque<ServiceState> &PoolTable::services() const
{
    return m_services;
}

ServiceIndex PoolTable::findOrAddService(ServiceId id)
{
    const auto [it, isNew] = m_serviceById.try_emplace(id, static_cast<ServiceIndex>(m_services.size()));
    if (!isNew) {
        return it->second;
    }
    const auto unused = std::find_if(m_services.begin(), m_services.end(), [](const ServiceState &state) {
        return state.isRetired && state.requests == 0;
    });
    if (unused == m_services.end()) {
        m_services.emplace_back(m_limits.initialEstimate);
    } else {
        it->second = static_cast<ServiceIndex>(unused - m_services.begin());
        *unused = ServiceState{m_limits.initialEstimate};
    }
    return it->second;
}

void PoolTable::retireUnlisted()
{
    for (ServiceState &service : m_services) {
        const bool isGone = !service.isListed && !service.isRetired;
        if (isGone) {
            service.isRetired = true;
            m_serviceById.erase(service.spec.id);
        }
        service.isListed = false;
    }
}

} // namespace Scheduling
