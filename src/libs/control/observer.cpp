#include "observer.h"

#include <algorithm>
#include <utility>

namespace Control
{

namespace
{

struct InstanceTotals {
    std::uint32_t inFlight = 0;
    std::size_t ejectionCount = 0;
};

class LoadTotals
{
public:
    void add(const std::vector<Fleet::PoolDemand> &demands, const std::vector<Peering::InstanceLoad> &loads)
    {
        ++m_reportCount;
        for (const auto &it : demands) {
            Fleet::PoolDemand &sum = m_demands[it.pool];
            sum.pool = it.pool;
            sum.busySlots += it.busySlots;
            sum.busyBatchSlots += it.busyBatchSlots;
            sum.queuedRequests += it.queuedRequests;
            sum.queuedBatch += it.queuedBatch;
        }
        for (const auto &it : loads) {
            InstanceTotals &sum = m_instances[it.instance];
            sum.inFlight += it.inFlight;
            sum.ejectionCount += it.isEjected ? 1 : 0;
        }
    }

    std::vector<Fleet::PoolDemand> demands() const
    {
        std::vector<Fleet::PoolDemand> list;
        for (const auto &[pool, it] : m_demands) {
            list.push_back(it);
        }
        return list;
    }

    Fleet::InstanceReport instanceReport(const Base::InstanceName &instance, Fleet::PlatformState state) const
    {
        const auto it = m_instances.find(instance);
        if (it == m_instances.end()) {
            return {instance, state, 0, false};
        }
        return {instance, state, it->second.inFlight, 2 * it->second.ejectionCount > m_reportCount};
    }

private:
    std::size_t m_reportCount = 0;
    std::map<Base::PoolName, Fleet::PoolDemand> m_demands;
    std::map<Base::InstanceName, InstanceTotals> m_instances;
};

} // namespace

// An instance that is missing from the platform's list is assumed to be live: the list may not contain it
// yet.
Fleet::Observations observe(const Fleet::FleetState &state, const ObservationSources &sources)
{
    LoadTotals totals;
    totals.add(sources.ownLoad.demands, sources.ownLoad.instances);
    for (const auto &it : sources.peers.reports()) {
        totals.add(it.demands, it.instances);
    }
    Fleet::Observations observations;
    observations.at = sources.at;
    observations.isPlatformReachable = sources.isPlatformReachable;
    observations.arePeersReachable = sources.peers.areAllReachable();
    observations.demands = totals.demands();
    for (const auto &[name, it] : state.instances) {
        const auto listed = sources.platformStates.find(name);
        const auto platformState =
            listed == sources.platformStates.end() ? Fleet::PlatformState::Live : listed->second;
        observations.instances.push_back(totals.instanceReport(name, platformState));
    }
    observations.actions = sources.actionReports;
    observations.liveMembers = sources.peers.liveMembers(state);
    return observations;
}

} // namespace Control
