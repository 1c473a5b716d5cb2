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

/// Slots that the requests there are would occupy at once.
double slotsWanted(const Fleet::PoolDemand &demand);

/// Slots that the arriving requests occupy: those busy, and a bounded part for the queue.
double slotsOffered(const Fleet::PoolDemand &demand);

/// Takes in one observation; `demands` are sorted by pool. A pool that isn't observed stays as it was.
void updateDemand(DemandMemory &memory, std::span<const Fleet::PoolDemand> demands, Base::Instant now);

/// Null when the pool was never observed.
DemandEstimate *findDemand(DemandMemory &memory, const Base::PoolName &pool);

/// The time from the last update to `now` in seconds; 0 before the first one.
double secondsSinceUpdate(const DemandMemory &memory, Base::Instant now);

} // namespace Policy
