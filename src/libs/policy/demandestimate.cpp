#include "demandestimate.h"

#include <algorithm>
#include <chrono>

namespace Policy
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// The weight of an observation that holds for `elapsed`. A quotient rather than an exponential: it is exact
/// in IEEE arithmetic, so that a replay on another machine gets the same estimates.
double gain(double elapsed, Base::Duration timeScale)
{
    return elapsed / (elapsed + Seconds(timeScale).count());
}

DemandEstimate &estimateOf(DemandMemory &memory, const Fleet::PoolDemand &demand)
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
    first.fast = slotsWanted(demand);
    first.slow = first.fast;
    return *memory.pools.insert(it, std::move(first));
}

} // namespace

double slotsWanted(const Fleet::PoolDemand &demand)
{
    return demand.busySlots + demand.queuedRequests;
}

double secondsSinceUpdate(const DemandMemory &memory, Base::Instant now)
{
    return memory.at && now > *memory.at ? Seconds(now - *memory.at).count() : 0;
}

void updateDemand(DemandMemory &memory, std::span<const Fleet::PoolDemand> demands, Base::Instant now)
{
    const double elapsed = secondsSinceUpdate(memory, now);
    for (const Fleet::PoolDemand &it : demands) {
        DemandEstimate &estimate = estimateOf(memory, it);
        const double wanted = slotsWanted(it);
        estimate.fast += (wanted - estimate.fast) * gain(elapsed, FastTimeScale);
        estimate.slow += (wanted - estimate.slow) * gain(elapsed, SlowTimeScale);
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
