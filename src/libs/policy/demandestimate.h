#pragma once

#include "plannermemory.h"

#include <base/instant.h>
#include <base/names.h>
#include <fleet/observations.h>

#include <optional>
#include <span>
#include <vector>

namespace Policy
{

inline constexpr Base::Duration FastTimeScale = std::chrono::seconds(5);
inline constexpr Base::Duration SlowTimeScale = std::chrono::seconds(240);
inline constexpr Base::Duration PeakTimeScale = std::chrono::seconds(1800);

/// Slots needed to serve all busy and queued requests at once.
double demandedSlots(const Fleet::PoolDemand &demand);

/// Estimate of the offered load in slots: the busy slots plus a limited amount for the queue.
double offeredLoad(const Fleet::PoolDemand &demand);

/// Updates the estimates with one observation. `demands` are sorted by pool; other pools are left unchanged.
void updateDemand(DemandMemory &memory, std::span<const Fleet::PoolDemand> demands, Base::Instant now);

/// Null if the pool has never been observed.
DemandEstimate *findDemand(DemandMemory &memory, const Base::PoolName &pool);

/// Seconds from the last update to `now`, 0 before the first update.
double secondsSinceUpdate(const DemandMemory &memory, Base::Instant now);

} // namespace Policy
