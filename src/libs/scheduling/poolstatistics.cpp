#include "poolstatistics.h"

#include <utility>

namespace Scheduling
{

namespace
{

using Document::Priority;

void addQueued(PoolStatistics &pool, Priority priority, std::uint32_t n)
{
    (priority == Priority::Batch ? pool.queuedBatch : pool.queuedForeground) += n;
}

void addQueueStatistics(const ServiceState &service, PoolStatistics &pool, SchedulerStatistics &out)
{
    for (std::size_t n = 0; n < PriorityCount; ++n) {
        const Lane &lane = service.lanes[n];
        const auto queued = static_cast<std::uint32_t>(lane.queue.size());
        const auto priority = static_cast<Priority>(n);
        out.queues.push_back({service.spec.id, priority, queued, lane.inFlight});
        addQueued(pool, priority, queued);
    }
}

} // namespace

void addPoolStatistics(PoolIndex index,
                       const PoolTable &table,
                       const TargetTable &targets,
                       const OutlierDetector &detector,
                       SchedulerStatistics &out)
{
    const PoolState &state = table.pools()[index];
    const PoolCapacity capacity = targets.capacity(index);
    PoolStatistics pool;
    pool.pool = state.name;
    pool.slots = capacity.slots;
    pool.targets = capacity.targets;
    pool.ejectedTargets = detector.ejectedTargets(index);
    pool.suspectTargets = detector.suspectTargets(index);
    pool.busyForeground = state.busy[indexOf(Priority::Interactive)] + state.busy[indexOf(Priority::Urgent)];
    pool.busyBatch = state.busy[indexOf(Priority::Batch)];
    for (const Request &it : state.retries) {
        addQueued(pool, it.arrival.priority, 1);
    }
    for (const ServiceIndex service : state.services) {
        addQueueStatistics(table.services()[service], pool, out);
    }
    out.pools.push_back(std::move(pool));
}

} // namespace Scheduling
