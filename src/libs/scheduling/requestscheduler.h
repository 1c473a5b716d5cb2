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

/// Decides for one entry instance which request goes to which target, and when. Every arrival gets exactly
/// one final outcome, a Refuse or a Deliver. The owner passes the time in, which never goes back, and
/// executes the decisions appended to `out`, in their order.
class RequestScheduler
{
public:
    RequestScheduler(const SchedulerLimits &limits, std::uint64_t seed);
    RequestScheduler(const RequestScheduler &) = delete;
    RequestScheduler &operator=(const RequestScheduler &) = delete;

    /// Replaces the fleet. Targets that stay keep their state; requests in flight on others finish. Takes
    /// effect on waiting requests with the next advance(), which is then due at once.
    void setFleet(std::span<const ServiceSpec> services, std::span<const TargetSpec> targets);

    /// This entry instance's share of a target's slots; all of them until set, and again when the target left
    /// the fleet and came back. Unknown targets are ignored. Requests in flight above a smaller share finish.
    /// advance() is then due at once.
    void setAllowance(TargetId target, std::uint32_t slots);

    /// The same with slots that are borrowed for a while.
    void setAllowance(TargetId target, const Allowance &allowance);

    /// Attempts on the target that have not ended.
    TargetUse useOf(TargetId target) const;

    /// An id that is still known is ignored.
    void arrive(const Arrival &arrival, Base::Instant now, std::vector<Decision> &out);

    /// The attempt in flight ended. Ignored when there is none.
    void
    attemptEnded(RequestId id, const AttemptResult &result, Base::Instant now, std::vector<Decision> &out);

    /// The caller hung up. Refuses the request as Cancelled; an attempt in flight still has to be reported.
    void cancel(RequestId id, Base::Instant now, std::vector<Decision> &out);

    /// Does what is due: requests that can't start in time, ends of ejections, changes of the fleet.
    void advance(Base::Instant now, std::vector<Decision> &out);

    /// When to call advance() next, at the latest.
    std::optional<Base::Instant> nextDue() const;

    SchedulerStatistics statistics() const;

private:
    struct Selection; // whose turn it is in a pool
    using PrioritySet = std::bitset<PriorityCount>;

    std::optional<Refuse> refusalOnArrival(const Arrival &arrival, Base::Instant now);
    Base::Instant latestStart(const Arrival &arrival) const;
    Base::Duration retryAfter(Base::Duration wait);

    void dispatchWaiting(PoolIndex pool, Base::Instant now, std::vector<Decision> &out);
    void dispatchRetries(PoolIndex pool, Base::Instant now, std::vector<Decision> &out);
    std::optional<Selection> selectNext(PoolIndex index, const PrioritySet &blocked) const;
    std::optional<TargetIndex> selectTarget(const Request &request, Base::Instant now);
    void dispatch(Request &request, TargetIndex target, Base::Instant now, std::vector<Decision> &out);
    Base::Instant giveUpAt(const Request &request, Base::Instant now) const;

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
    std::optional<Base::Instant> m_queueDue; ///< no waiting request has to start earlier
    bool m_isFleetChanged = false;
    SchedulerCounters m_counters;
};

} // namespace Scheduling
