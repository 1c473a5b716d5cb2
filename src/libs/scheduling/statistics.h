#pragma once

#include "ids.h"

#include <base/names.h>
#include <document/document.h>

#include <cstdint>
#include <vector>

namespace Scheduling
{

/// Requests of one service and priority.
struct QueueStatistics {
    ServiceId service;
    Document::Priority priority = Document::Priority::Interactive;
    std::uint32_t queued = 0;
    std::uint32_t inFlight = 0;

    bool operator==(const QueueStatistics &) const = default;
};

/// Capacity of and demand on one pool, as seen by this entry instance. Foreground requests are those with
/// interactive or urgent priority.
struct PoolStatistics {
    Base::PoolName pool;
    std::uint32_t slots = 0; ///< this entry instance's allowance on targets in service
    std::uint32_t busyForeground = 0;
    std::uint32_t busyBatch = 0;
    std::uint32_t queuedForeground = 0;
    std::uint32_t queuedBatch = 0;
    std::uint32_t targets = 0; ///< all declared targets, including draining ones
    std::uint32_t ejectedTargets = 0; ///< ejected, or in service for probes only
    std::uint32_t suspectTargets = 0; ///< outliers that can't be ejected, since the pool needs their slots

    bool operator==(const PoolStatistics &) const = default;
};

/// Totals since the start of the process.
struct SchedulerCounters {
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t retried = 0;
    std::uint64_t delivered = 0;
    std::uint64_t refused = 0;
    std::uint64_t ejections = 0;

    bool operator==(const SchedulerCounters &) const = default;
};

struct SchedulerStatistics {
    std::vector<QueueStatistics> queues;
    std::vector<PoolStatistics> pools;
    SchedulerCounters counters;
    std::uint32_t requests = 0; ///< queued and in flight
};

} // namespace Scheduling
