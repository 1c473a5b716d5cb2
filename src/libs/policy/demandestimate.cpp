#include "demandestimate.h"

#include <algorithm>
#include <chrono>

namespace Policy
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Limit of the queue's contribution to the offered load, relative to the busy slots.
constexpr double MaxQueueShare = 0.25;

/// The weight of an observation that covers `elapsed`. Until the time scale has passed, all observations have
/// equal weight per time, so that the first one, which may be of a surge, isn't overrated. A quotient is used
/// instead of an exponential because IEEE arithmetic defines its result exactly: a replay on another machine
/// gets the same estimates.
double gain(double elapsed, Base::Duration seenFor, Base::Duration timeScale)
{
    const double window = Seconds(std::min(seenFor, timeScale)).count();
    return elapsed > 0 ? elapsed / (elapsed + window) : 0;
}

DemandEstimate &findOrAddEstimate(DemandMemory &memory, const Fleet::PoolDemand &demand)
{
    const auto it = std::lower_bound(
        memory.pools.begin(),
        memory.pools.end(),
        demand.pool,
        [](const DemandEstimate &estimate, const Base::PoolName &pool) { return estimate.pool < pool; });
    if (it != memory.pools.end() && it->pool == demand.pool) {
        return *it;
    }
    DemandEstimate first{.pool = demand.pool};
    first.fast = offeredLoad(demand);
    first.slow = first.fast;
    first.peak = first.fast;
    return *memory.pools.insert(it, std::move(first));
}

} // namespace

double demandedSlots(const Fleet::PoolDemand &demand)
{
    return demand.busySlots + demand.queuedRequests;
}

// The queue shows that the load exceeds the capacity, but not by how much: requests left over from a surge
// are not lasting load. For a pool that stays too small, the estimate rises gradually until the queue is
// gone.
double offeredLoad(const Fleet::PoolDemand &demand)
{
    return demand.busySlots + std::min(demand.queuedRequests, demand.busySlots * MaxQueueShare + 1);
}

double secondsSinceUpdate(const DemandMemory &memory, Base::Instant now)
{
    return memory.at && now > *memory.at ? Seconds(now - *memory.at).count() : 0;
}

void updateDemand(DemandMemory &memory, std::span<const Fleet::PoolDemand> demands, Base::Instant now)
{
    const double elapsed = secondsSinceUpdate(memory, now);
    for (const Fleet::PoolDemand &it : demands) {
        DemandEstimate &estimate = findOrAddEstimate(memory, it);
        const double offered = offeredLoad(it);
        const Base::Duration seenFor = estimate.seenFor;
        estimate.fast += (offered - estimate.fast) * gain(elapsed, seenFor, FastTimeScale);
        estimate.slow += (offered - estimate.slow) * gain(elapsed, seenFor, SlowTimeScale);
        estimate.peak += (estimate.slow - estimate.peak) * gain(elapsed, seenFor, PeakTimeScale);
        if (seenFor < SlowTimeScale || estimate.peak < estimate.slow) {
            estimate.peak = estimate.slow;
        }
        estimate.seenFor += std::chrono::duration_cast<Base::Duration>(Seconds(elapsed));
    }
    memory.at = now;
}

DemandEstimate *findDemand(DemandMemory &memory, const Base::PoolName &pool)
{
    const auto it = std::lower_bound(
        memory.pools.begin(),
        memory.pools.end(),
        pool,
        [](const DemandEstimate &estimate, const Base::PoolName &name) { return estimate.pool < name; });
    return it != memory.pools.end() && it->pool == pool ? &*it : nullptr;
}

} // namespace Policy
