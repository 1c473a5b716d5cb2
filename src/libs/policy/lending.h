#pragma once

#include "fleetview.h"

#include <document/document.h>

#include <span>
#include <vector>

namespace Policy
{

/// How the surge of one pool is met without a move, in slots. What is neither lent nor freed waits in the
/// queue.
struct SurgeRelief {
    Base::PoolName pool;
    double missingSlots = 0; ///< wanted beyond what the pool has
    std::vector<Base::InstanceName> lentInstances; ///< of a spare pool: extra targets while the surge lasts
    double throttledBatchSlots = 0; ///< batch to throttle on the pool's own instances
    double queuedSlots = 0;

    bool operator==(const SurgeRelief &) const = default;
};

/// Instances of spare pools, sorted by name, that those pools' own requests leave free; they still belong to
/// their pool. `demands` are sorted by pool.
std::vector<Base::InstanceName> lendableInstances(const FleetView &view,
                                                  const Document::Document &document,
                                                  std::span<const Fleet::PoolDemand> demands);

/// Shares the lendable instances out to the pools whose demand is above their slots, the largest surge first.
/// An instance is lent to one pool only. All that see the same demand get the same answer.
std::vector<SurgeRelief> relieveSurges(const FleetView &view,
                                       const Document::Document &document,
                                       std::span<const Fleet::PoolDemand> demands);

} // namespace Policy
