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

double wantedOf(std::span<const Fleet::PoolDemand> demands, const Base::PoolName &pool)
{
    const auto it = std::lower_bound(
        demands.begin(),
        demands.end(),
        pool,
        [](const Fleet::PoolDemand &demand, const Base::PoolName &name) { return demand.pool < name; });
    return it != demands.end() && it->pool == pool ? slotsWanted(*it) : 0;
}

bool isSpare(const Document::Document &document, const Base::PoolName &pool)
{
    return std::any_of(document.pools.begin(), document.pools.end(), [&pool](const Document::Pool &it) {
        return it.name == pool && it.isSpare;
    });
}

/// Covers as much of the queue as throttling batch work on the pool's own instances can.
void throttleBatch(SurgeRelief &relief, double busyBatchSlots)
{
    relief.throttledBatchSlots = std::min(relief.queuedSlots, busyBatchSlots);
    relief.queuedSlots -= relief.throttledBatchSlots;
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
        double left = availableSlots(view, pool.name) - wantedOf(demands, pool.name);
        for (const InstanceView *it : view.instancesOf(pool.name)) {
            if (it->isAvailable() && left >= slotsOf(*it)) {
                lendable.push_back(it->name());
                left -= slotsOf(*it);
            }
        }
    }
    std::sort(lendable.begin(), lendable.end());
    return lendable;
}

std::vector<SurgeRelief> relieveSurges(const FleetView &view,
                                       const Document::Document &document,
                                       std::span<const Fleet::PoolDemand> demands)
{
    std::vector<SurgeRelief> reliefs;
    for (const Fleet::PoolDemand &it : demands) {
        const double missing = slotsWanted(it) - availableSlots(view, it.pool);
        if (missing > 0 && !isSpare(document, it.pool)) {
            SurgeRelief &relief = reliefs.emplace_back();
            relief.pool = it.pool;
            relief.missingSlots = missing;
            relief.queuedSlots = missing;
            throttleBatch(relief, it.busyBatchSlots);
        }
    }
    std::stable_sort(reliefs.begin(), reliefs.end(), [](const SurgeRelief &a, const SurgeRelief &b) {
        return a.missingSlots > b.missingSlots;
    });

    const std::vector<Base::InstanceName> lendable = lendableInstances(view, document, demands);
    auto next = lendable.begin();
    for (SurgeRelief &relief : reliefs) {
        while (relief.queuedSlots > 0 && next != lendable.end()) {
            relief.queuedSlots = std::max(0.0, relief.queuedSlots - slotsOf(*view.find(*next)));
            relief.lentInstances.push_back(*next++);
        }
    }
    return reliefs;
}

} // namespace Policy
