#pragma once

#include "fleetview.h"

#include <document/document.h>

#include <span>
#include <vector>

namespace Policy
{

/// How the surge of one pool is covered without a move, in slots. Demand that neither lent instances nor
/// throttled batch work cover stays queued.
struct SurgeAllocation {
    Base::PoolName pool;
    double missingSlots = 0; ///< demand beyond the pool's available slots
    std::vector<Base::InstanceName> lentInstances; ///< from a spare pool, additional targets during the surge
    double throttledBatchSlots = 0; ///< batch work to throttle on the pool's own instances
    double queuedSlots = 0;

    bool operator==(const SurgeAllocation &) const = default;
};

/// Instances of spare pools that are not needed for those pools' own requests, sorted by name. Lending
/// doesn't change the pool that an instance belongs to. `demands` are sorted by pool.
std::vector<Base::InstanceName> lendableInstances(const FleetView &view,
                                                  const Document::Document &document,
                                                  std::span<const Fleet::PoolDemand> demands);

/// Assigns the lendable instances to the pools whose demand exceeds their available slots, the largest surge
/// first. Each instance is lent to one pool only. The result is the same wherever it is computed from the
/// same demand.
std::vector<SurgeAllocation> allocateForSurges(const FleetView &view,
                                               const Document::Document &document,
                                               std::span<const Fleet::PoolDemand> demands);

} // namespace Policy
