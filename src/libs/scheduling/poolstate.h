#pragma once

#include "fleetspecs.h"
#include "priorityorder.h"
#include "requestqueue.h"
#include "retrybudget.h"
#include "runtimeestimate.h"
#include "schedulerlimits.h"

#include <base/instant.h>
#include <base/names.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Scheduling
{

/// The requests of one service at one priority.
struct Lane {
    explicit Lane(Base::Duration initialEstimate)
        : runTime(initialEstimate)
        , slotTime(initialEstimate)
    {
    }

    RequestQueue queue;
    RunTimeEstimate runTime; ///< of successful attempts
    RunTimeEstimate slotTime; ///< of all attempts, whatever their outcome
    std::uint32_t inFlight = 0;
};

struct ServiceState {
    explicit ServiceState(Base::Duration initialEstimate)
        : lanes{Lane{initialEstimate}, Lane{initialEstimate}, Lane{initialEstimate}}
    {
    }

    ServiceSpec spec;
    PoolIndex pool = 0;
    bool isRetired = true; ///< removed from the fleet; its requests in flight are completed
    bool isListed = false; ///< part of the fleet that is being set
    std::uint32_t requests = 0; ///< queued or in flight
    std::array<Lane, PriorityCount> lanes;
};

struct PoolState {
    explicit PoolState(const SchedulerLimits &limits)
        : order(limits.guaranteedShare)
        , retryBudget(limits.retryShare, limits.retryBurst)
        , batchSlotTime(limits.initialEstimate)
    {
    }

    Base::PoolName name;
    std::vector<ServiceIndex> services;
    /// Round robin position: the service after the one served last.
    std::array<std::size_t, PriorityCount> cursors{};
    std::array<std::uint32_t, PriorityCount> busy{}; ///< slots in use
    PriorityOrder order;
    RetryBudget retryBudget;
    RunTimeEstimate batchSlotTime;
    RequestQueue retries; ///< waiting for a free target on which they have not failed
    bool isChanged = false; ///< its targets or allowances changed since requests were last dispatched
};

} // namespace Scheduling
