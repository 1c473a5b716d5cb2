#pragma once

#include "poolstate.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Scheduling
{

/// The pools and the services that they carry. Indexes stay valid while requests are queued or in flight.
class PoolTable
{
public:
    explicit PoolTable(const SchedulerLimits &limits);

    /// Replaces the services; those that are gone are retired until their last request ended.
    void setServices(std::span<const ServiceSpec> services);

    /// The pool of this name, added when it is new.
    PoolIndex findOrAddPool(const Base::PoolName &name);

    /// A service of the fleet.
    std::optional<ServiceIndex> find(ServiceId id) const;

    /// Ends the use of an index for a pool that has no services, targets or requests left.
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
