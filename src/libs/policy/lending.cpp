#include "lending.h"

#include "demandestimate.h"

#include <algorithm>

namespace Policy
{

namespace
{

double slotsOf(const InstanceView &instance)
{
    return instance.state->declared.slots;
}

double availableSlots(const FleetView &view, const Base::PoolName &pool)
{
    double slots = 0;
    for (const InstanceView *it : view.instancesOf(pool)) {
        slots += it->isAvailable() ? slotsOf(*it) : 0;
    }
    return slots;
}

double demandOf(std::span<const Fleet::PoolDemand> demands, const Base::PoolName &pool)
{
    const auto it = std::lower_bound(
        demands.begin(),
        demands.end(),
        pool,
        [](const Fleet::PoolDemand &demand, const Base::PoolName &name) { return demand.pool < name; });
    return it != demands.end() && it->pool == pool ? demandedSlots(*it) : 0;
}

bool isSpare(const Document::Document &document, const Base::PoolName &pool)
{
    return std::any_of(document.pools.begin(), document.pools.end(), [&pool](const Document::Pool &it) {
        return it.name == pool && it.isSpare;
    });
}

/// Covers as much of the queue as throttling batch work on the pool's own instances can.
void throttleBatch(SurgeAllocation &allocation, double busyBatchSlots)
{
    allocation.throttledBatchSlots = std::min(allocation.queuedSlots, busyBatchSlots);
    allocation.queuedSlots -= allocation.throttledBatchSlots;
}

} // namespace

std::vector<Base::InstanceName> lendableInstances(const FleetView &view,
                                                  const Document::Document &document,
                                                  std::span<const Fleet::PoolDemand> demands)
{
    std::vector<Base::InstanceName> lendable;
    for (const Document::Pool &pool : document.pools) {
        if (!pool.isSpare) {
            continue;
        }
        double remaining = availableSlots(view, pool.name) - demandOf(demands, pool.name);
        for (const InstanceView *it : view.instancesOf(pool.name)) {
            if (it->isAvailable() && remaining >= slotsOf(*it)) {
                lendable.push_back(it->name());
                remaining -= slotsOf(*it);
            }
        }
    }
    std::sort(lendable.begin(), lendable.end());
    return lendable;
}

std::vector<SurgeAllocation> allocateForSurges(const FleetView &view,
                                               const Document::Document &document,
                                               std::span<const Fleet::PoolDemand> demands)
{
    std::vector<SurgeAllocation> allocations;
    for (const Fleet::PoolDemand &it : demands) {
        const double missing = demandedSlots(it) - availableSlots(view, it.pool);
        if (missing > 0 && !isSpare(document, it.pool)) {
            SurgeAllocation &allocation = allocations.emplace_back();
            allocation.pool = it.pool;
            allocation.missingSlots = missing;
            allocation.queuedSlots = missing;
            throttleBatch(allocation, it.busyBatchSlots);
        }
    }
    std::stable_sort(
        allocations.begin(), allocations.end(), [](const SurgeAllocation &a, const SurgeAllocation &b) {
            return a.missingSlots > b.missingSlots;
        });

    const std::vector<Base::InstanceName> lendable = lendableInstances(view, document, demands);
    auto next = lendable.begin();
    for (SurgeAllocation &allocation : allocations) {
        while (allocation.queuedSlots > 0 && next != lendable.end()) {
            allocation.queuedSlots = std::max(0.0, allocation.queuedSlots - slotsOf(*view.find(*next)));
            allocation.lentInstances.push_back(*next++);
        }
    }
    return allocations;
}

} // namespace Policy
