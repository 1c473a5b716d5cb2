#pragma once

#include "poolstate.h"
#include "targettable.h"

#include <base/instant.h>

#include <cstddef>
#include <deque>

namespace Scheduling
{

/// The slots that batch requests may hold at once; at least one.
std::uint32_t batchSlots(const PoolCapacity &capacity, const SchedulerLimits &limits);

/// How long a request that arrives now is expected to wait for a slot of a pool without a free one.
Base::Duration estimatedWait(const PoolState &pool,
                             const std::deque<ServiceState> &services,
                             const PoolCapacity &capacity,
                             const SchedulerLimits &limits,
                             std::size_t priority);

} // namespace Scheduling
