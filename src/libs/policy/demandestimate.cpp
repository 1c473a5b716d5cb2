#include "demandestimate.h"

#include <algorithm>
#include <chrono>

namespace Policy
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// How much of what is busy a queue can add to the demand.
constexpr double MostQueueShare = 0.25;

/// The weight of an observation that holds for `elapsed`; until a time scale has passed, all that was seen
/// counts alike, so that the first observation, which may be of a surge, counts for no more than its share. A
/// quotient rather than an exponential: it is exact in IEEE arithmetic, and a replay on another machine gets
/// the same estimates.
double gain(double elapsed, Base::Duration seenFor, Base::Duration timeScale)
{
    const double remembered = Seconds(std::min(seenFor, timeScale)).count();
    return elapsed > 0 ? elapsed / (elapsed + remembered) : 0;
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
    first.fast = slotsOffered(demand);
    first.slow = first.fast;
    first.peak = first.fast;
    return *memory.pools.insert(it, std::move(first));
}

} // namespace

double slotsWanted(const Fleet::PoolDemand &demand)
{
    return demand.busySlots + demand.queuedRequests;
}

// A queue says that more is wanted, not how much: what a surge left waiting is no load that lasts. A pool
// that stays too small is seen as a little more wanting each time, until its queue is gone.
double slotsOffered(const Fleet::PoolDemand &demand)
{
    return demand.busySlots + std::min(demand.queuedRequests, demand.busySlots * MostQueueShare + 1);
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
        const double offered = slotsOffered(it);
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
