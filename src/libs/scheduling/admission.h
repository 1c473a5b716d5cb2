#pragma once

#include "poolstate.h"
#include "targettable.h"

#include <base/instant.h>

#include <cstddef>
#include <deque>

namespace Scheduling
{

/// Returns the maximum number of slots that batch requests may use at once, which is at least one.
std::uint32_t batchSlots(const PoolCapacity &capacity, const SchedulerLimits &limits);

/// Estimates the waiting time of a request that arrives now at a pool without a free slot.
Base::Duration estimatedWait(const PoolState &pool,
                             const std::deque<ServiceState> &services,
                             const PoolCapacity &capacity,
                             const SchedulerLimits &limits,
                             std::size_t priority);

} // namespace Scheduling
