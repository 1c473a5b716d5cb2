#include "admission.h"

#include <algorithm>

namespace Scheduling
{

namespace
{

double asMicros(Base::Duration duration)
{
    return static_cast<double>(duration.count());
}

// The slot time of all queued requests that are served before a new request of the priority.
double queuedWork(const PoolState &pool, const std::deque<ServiceState> &services, std::size_t priority)
{
    double work = 0;
    for (const ServiceIndex index : pool.services) {
        for (std::size_t n = 0; n <= priority; ++n) {
            const Lane &lane = services[index].lanes[n];
            work += static_cast<double>(lane.queue.size()) * asMicros(lane.slotTime.mean());
        }
    }
    return work;
}

double meanSlotTime(const PoolState &pool, const std::deque<ServiceState> &services, std::size_t priority)
{
    double time = 0;
    double weight = 0;
    for (const ServiceIndex index : pool.services) {
        const Lane &lane = services[index].lanes[priority];
        const double n = static_cast<double>(lane.queue.size()) + lane.inFlight + 1;
        time += n * asMicros(lane.slotTime.mean());
        weight += n;
    }
    return weight > 0 ? time / weight : 0;
}

// Slots in use by batch requests count only in part for a shorter request, because they become free less
// often.
double effectiveSlots(const PoolState &pool,
                      const PoolCapacity &capacity,
                      const SchedulerLimits &limits,
                      std::size_t priority,
                      double slotTime)
{
    if (priority == indexOf(Document::Priority::Batch)) {
        return batchSlots(capacity, limits);
    }
    const double busyBatch = std::min(pool.busy[indexOf(Document::Priority::Batch)], capacity.slots);
    const double batchTime = std::max(1.0, asMicros(pool.batchSlotTime.mean()));
    return capacity.slots - busyBatch + busyBatch * std::min(1.0, slotTime / batchTime);
}

} // namespace

std::uint32_t batchSlots(const PoolCapacity &capacity, const SchedulerLimits &limits)
{
    return std::max(1U, static_cast<std::uint32_t>(capacity.slots * limits.maxBatchShare));
}

Base::Duration estimatedWait(const PoolState &pool,
                             const std::deque<ServiceState> &services,
                             const PoolCapacity &capacity,
                             const SchedulerLimits &limits,
                             std::size_t priority)
{
    const double slotTime = meanSlotTime(pool, services, priority);
    const double slots = effectiveSlots(pool, capacity, limits, priority, slotTime);
    const double work = queuedWork(pool, services, priority) + slotTime;
    return Base::Duration{static_cast<Base::Duration::rep>(work / std::max(1.0, slots))};
}

} // namespace Scheduling
