#pragma once

#include "allowance.h"
#include "attempt.h"
#include "decision.h"
#include "failureattribution.h"
#include "fleetspecs.h"
#include "outlierdetector.h"
#include "pooltable.h"
#include "requesttable.h"
#include "schedulerlimits.h"
#include "statistics.h"
#include "targettable.h"

#include <base/instant.h>

#include <bitset>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Scheduling
{

/// Schedules the requests of one entry instance onto targets. Every arrival gets exactly one final outcome,
/// a Refuse or a Deliver. The owner passes in the current time, which must be monotonic, and executes the
/// decisions that are appended to `out` in order.
class RequestScheduler
{
public:
    RequestScheduler(const SchedulerLimits &limits, std::uint64_t seed);
    RequestScheduler(const RequestScheduler &) = delete;
    RequestScheduler &operator=(const RequestScheduler &) = delete;

    /// Replaces the fleet. Targets that remain keep their state; requests in flight on removed targets are
    /// completed. Queued requests are affected by the next advance(), which is then due immediately.
    void setFleet(std::span<const ServiceSpec> services, std::span<const TargetSpec> targets);

    /// Sets this entry instance's share of a target's slots. Until it is set, and after the target was
    /// removed from the fleet and added again, the share is all slots. Unknown targets are ignored. When the
    /// share shrinks, requests in flight above it are completed. advance() is then due immediately.
    void setAllowance(TargetId target, std::uint32_t slots);

    /// Like the overload above, with additional borrowed slots that expire.
    void setAllowance(TargetId target, const Allowance &allowance);

    /// Returns the number of attempts in flight on the target.
    TargetUse usageOf(TargetId target) const;

    /// Adds a request. Ignored when a request with this id is still known.
    void arrive(const Arrival &arrival, Base::Instant now, std::vector<Decision> &out);

    /// Reports the end of the attempt in flight. Ignored when there is none.
    void
    attemptEnded(RequestId id, const AttemptResult &result, Base::Instant now, std::vector<Decision> &out);

    /// Refuses the request as Cancelled after its caller disconnected. The end of an attempt in flight still
    /// has to be reported.
    void cancel(RequestId id, Base::Instant now, std::vector<Decision> &out);

    /// Refuses requests that can't start in time, ends ejections that are over and applies changes of the
    /// fleet.
    void advance(Base::Instant now, std::vector<Decision> &out);

    /// Returns the latest time for the next call of advance().
    std::optional<Base::Instant> nextDue() const;

    SchedulerStatistics statistics() const;

private:
    struct Selection; // the queue of a pool to dispatch from next
    using PrioritySet = std::bitset<PriorityCount>;

    std::optional<Refuse> refusalOnArrival(const Arrival &arrival, Base::Instant now);
    Base::Instant latestStart(const Arrival &arrival) const;
    Base::Duration retryAfter(Base::Duration wait);

    void dispatchWaiting(PoolIndex pool, Base::Instant now, std::vector<Decision> &out);
    void dispatchRetries(PoolIndex pool, Base::Instant now, std::vector<Decision> &out);
    std::optional<Selection> selectNext(PoolIndex index, const PrioritySet &blocked) const;
    std::optional<TargetIndex> selectTarget(const Request &request, Base::Instant now);
    void dispatch(Request &request, TargetIndex target, Base::Instant now, std::vector<Decision> &out);
    Base::Instant attemptDeadline(const Request &request, Base::Instant now) const;

    void handleFailure(Request &request,
                       const AttemptResult &result,
                       Base::Instant now,
                       std::vector<Decision> &out);
    bool
    tryRetry(Request &request, const AttemptResult &result, Base::Instant now, std::vector<Decision> &out);
    bool canRetry(const Request &request, const AttemptResult &result, Base::Instant now) const;
    bool hasOtherTarget(const Request &request) const;
    void recordLatency(const Request &request, const AttemptResult &result);

    void refuse(Request &request, RefusalReason reason, std::vector<Decision> &out);
    void refuseWaiting(Request &request, RefusalReason reason, std::vector<Decision> &out);
    void refuseExpired(RequestQueue &queue, Base::Instant now, std::vector<Decision> &out);
    void refuseRequestsOfRetiredServices(std::vector<Decision> &out);
    void removeRequest(Request &request);
    RequestQueue &queueOf(const Request &request);
    Lane &laneOf(const Request &request);
    const Lane &laneOf(const Request &request) const;

    SchedulerLimits m_limits;
    RandomEngine m_random;
    TargetTable m_targets;
    OutlierDetector m_detector;
    FailureAttribution m_attribution;
    RequestTable m_requests;
    PoolTable m_poolTable;
    std::deque<PoolState> &m_pools;
    std::deque<ServiceState> &m_services;
    Base::Instant m_now;
    std::optional<Base::Instant> m_queueDue; ///< lower bound of the latest start of all waiting requests
    bool m_isFleetChanged = false;
    SchedulerCounters m_counters;
};

} // namespace Scheduling
