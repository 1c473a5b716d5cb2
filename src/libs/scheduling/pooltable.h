#pragma once

#include "poolstate.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Scheduling
{

/// The pools and the services that they serve. Indexes stay valid while requests are queued or in flight.
class PoolTable
{
public:
    explicit PoolTable(const SchedulerLimits &limits);

    /// Replaces the services. Removed services are retired and their entries reused after their last request
    /// ended.
    void setServices(std::span<const ServiceSpec> services);

    /// Returns the pool with this name, which is added if it doesn't exist.
    PoolIndex findOrAddPool(const Base::PoolName &name);

    /// Returns the service if it is part of the fleet.
    std::optional<ServiceIndex> find(ServiceId id) const;

    /// Makes the index of a pool without services, targets and requests available for reuse.
    void recycle(PoolIndex index);

    std::deque<PoolState> &pools();
    const std::deque<PoolState> &pools() const;
    std::deque<ServiceState> &services();
    const std::deque<ServiceState> &services() const;

private:
    ServiceIndex findOrAddService(ServiceId id);
    void retireUnlisted();

    SchedulerLimits m_limits;
    std::deque<ServiceState> m_services;
    std::deque<PoolState> m_pools;
    std::vector<PoolIndex> m_unusedPools;
    boost::unordered_flat_map<ServiceId, ServiceIndex, std::hash<ServiceId>> m_serviceById;
    boost::unordered_flat_map<Base::PoolName, PoolIndex, std::hash<Base::PoolName>> m_poolByName;
};

} // namespace Scheduling
