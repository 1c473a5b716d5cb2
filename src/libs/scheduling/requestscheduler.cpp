#include "requestscheduler.h"

#include "admission.h"
#include "fleetupdate.h"
#include "poolstatistics.h"

#include <algorithm>

namespace Scheduling
{

namespace
{

using Document::Priority;

constexpr double RetryAfterJitter = 0.25; // spreads the retries of callers that were refused at the same time

} // namespace

struct RequestScheduler::Selection {
    ServiceIndex service = 0;
    std::size_t priority = 0;
    std::size_t nextCursor = 0;
    WaitingByPriority waiting;
};

RequestScheduler::RequestScheduler(const SchedulerLimits &limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
    , m_targets(limits.zone)
    , m_detector(limits.outliers, m_targets)
    , m_attribution(m_targets, m_detector)
    , m_poolTable(limits)
    , m_pools(m_poolTable.pools())
    , m_services(m_poolTable.services())
{
    m_limits.attempts = std::clamp<std::uint32_t>(limits.attempts, 1, MaxAttempts);
}

void RequestScheduler::setFleet(std::span<const ServiceSpec> services, std::span<const TargetSpec> targets)
{
    FleetUpdate(m_poolTable, m_targets, m_detector).apply(services, targets);
    for (PoolState &pool : m_pools) {
        pool.isChanged = true;
    }
    m_isFleetChanged = true;
}

void RequestScheduler::setAllowance(TargetId target, std::uint32_t slots)
{
    setAllowance(target, Allowance{slots, 0, {}});
}

void RequestScheduler::setAllowance(TargetId target, const Allowance &allowance)
{
    const auto index = m_targets.find(target);
    if (index && !m_targets.at(*index).isRetired) {
        m_targets.setAllowance(*index, allowance);
        m_pools[m_targets.at(*index).pool].isChanged = true;
        m_isFleetChanged = true;
    }
}

TargetUse RequestScheduler::usageOf(TargetId target) const
{
    const auto index = m_targets.find(target);
    if (!index) {
        return {};
    }
    return {m_targets.at(*index).inFlight, m_targets.at(*index).inFlightBeyondLoan};
}

void RequestScheduler::arrive(const Arrival &arrival, Base::Instant now, std::vector<Decision> &out)
{
    m_now = std::max(m_now, now);
    if (m_requests.find(arrival.id)) {
        return;
    }
    ++m_counters.arrived;
    if (const auto refusal = refusalOnArrival(arrival, now)) {
        ++m_counters.refused;
        out.emplace_back(*refusal);
        return;
    }
    Request &request = *m_requests.insert(arrival);
    request.service = *m_poolTable.find(arrival.service);
    request.pool = m_services[request.service].pool;
    request.latestStart = latestStart(arrival);
    ++m_services[request.service].requests;
    laneOf(request).queue.insert(request);
    m_queueDue = std::min(m_queueDue.value_or(request.latestStart), request.latestStart);
    dispatchWaiting(request.pool, now, out);
}

void RequestScheduler::attemptEnded(RequestId id,
                                    const AttemptResult &result,
                                    Base::Instant now,
                                    std::vector<Decision> &out)
{
    m_now = std::max(m_now, now);
    Request *request = m_requests.find(id);
    const bool hasAttempt =
        request && (request->state == RequestState::InFlight || request->state == RequestState::Abandoned);
    if (!hasAttempt) {
        return;
    }
    const PoolIndex pool = request->pool;
    const std::size_t priority = indexOf(request->arrival.priority);
    m_targets.release(request->target, request->endsWithinLoan);
    --m_pools[pool].busy[priority];
    --laneOf(*request).inFlight;
    request->verdict = Base::worstOf(request->verdict, verdictOf(result.outcome));
    const bool isSuccess = result.outcome == AttemptOutcome::Answered && !result.isServerError;
    if (request->state == RequestState::Abandoned) {
        removeRequest(*request);
    } else if (isSuccess) {
        recordLatency(*request, result);
        m_attribution.resolve(*request, true, now);
        m_detector.addSuccess(request->target, now);
        m_pools[pool].retryBudget.addSuccess();
        ++m_counters.delivered;
        out.emplace_back(Deliver{id});
        removeRequest(*request);
    } else {
        recordLatency(*request, result);
        handleFailure(*request, result, now, out);
    }
    dispatchWaiting(pool, now, out);
}

void RequestScheduler::cancel(RequestId id, Base::Instant now, std::vector<Decision> &out)
{
    m_now = std::max(m_now, now);
    Request *request = m_requests.find(id);
    if (!request || request->state == RequestState::Abandoned) {
        return;
    }
    if (request->state == RequestState::InFlight) {
        request->verdict = Base::worstOf(request->verdict, Base::Verdict::MayHaveRun);
        request->state = RequestState::Abandoned;
        refuse(*request, RefusalReason::Cancelled, out);
        return;
    }
    refuseWaiting(*request, RefusalReason::Cancelled, out);
}

void RequestScheduler::advance(Base::Instant now, std::vector<Decision> &out)
{
    m_now = std::max(m_now, now);
    if (m_isFleetChanged) {
        m_isFleetChanged = false;
        refuseRequestsOfRetiredServices(out);
    }
    const bool isProbeDue = m_detector.advance(now);
    const bool isQueueDue = m_queueDue && *m_queueDue <= now;
    for (PoolIndex index = 0; index < m_pools.size(); ++index) {
        PoolState &pool = m_pools[index];
        if (pool.isChanged || isProbeDue || isQueueDue || m_detector.hasProbing(index)) {
            pool.isChanged = false;
            dispatchWaiting(index, now, out);
        }
    }
    if (!isQueueDue) {
        return;
    }
    m_queueDue.reset();
    for (PoolState &pool : m_pools) {
        refuseExpired(pool.retries, now, out);
    }
    for (ServiceState &service : m_services) {
        for (Lane &lane : service.lanes) {
            refuseExpired(lane.queue, now, out);
        }
    }
}

std::optional<Base::Instant> RequestScheduler::nextDue() const
{
    if (m_isFleetChanged) {
        return m_now;
    }
    const auto probeDue = m_detector.nextDue(m_now);
    if (probeDue && m_queueDue) {
        return std::min(*probeDue, *m_queueDue);
    }
    return probeDue ? probeDue : m_queueDue;
}

SchedulerStatistics RequestScheduler::statistics() const
{
    SchedulerStatistics result;
    result.counters = m_counters;
    result.counters.ejections = m_detector.ejections();
    result.requests = static_cast<std::uint32_t>(m_requests.size());
    for (PoolIndex index = 0; index < m_pools.size(); ++index) {
        if (!m_pools[index].name.isEmpty()) {
            addPoolStatistics(index, m_poolTable, m_targets, m_detector, result);
        }
    }
    return result;
}

std::optional<Refuse> RequestScheduler::refusalOnArrival(const Arrival &arrival, Base::Instant now)
{
    const auto refusal = [&](RefusalReason reason, Base::Duration wait) {
        return Refuse{arrival.id, reason, Base::Verdict::NotRun, retryAfter(wait)};
    };
    const auto service = m_poolTable.find(arrival.service);
    if (!service) {
        return refusal(RefusalReason::UnknownService, m_limits.noTargetRetryAfter);
    }
    if (arrival.deadline <= now) {
        return refusal(RefusalReason::DeadlinePassed, {});
    }
    const ServiceState &state = m_services[*service];
    const PoolState &pool = m_pools[state.pool];
    const PoolCapacity capacity = m_targets.capacity(state.pool);
    // Without an allowance the request is queued, because slots are borrowed according to the queue length.
    if (capacity.inServiceSlots == 0) {
        return refusal(RefusalReason::NoTarget, m_limits.noTargetRetryAfter);
    }
    const std::size_t priority = indexOf(arrival.priority);
    const bool mustWait = !m_targets.hasFree(state.pool);
    const Base::Duration wait =
        mustWait ? estimatedWait(pool, m_services, capacity, m_limits, priority) : Base::Duration::zero();
    const bool isFull = state.lanes[priority].queue.size() >= m_limits.maxQueueLength[priority];
    if (isFull || m_requests.size() >= m_limits.requests) {
        return refusal(RefusalReason::QueueFull, wait);
    }
    const Base::Instant start = now + wait;
    if (start > latestStart(arrival)) {
        return refusal(RefusalReason::DeadlineUnmeetable, start - latestStart(arrival));
    }
    return std::nullopt;
}

// The estimated run time is used only while requests are in flight. Otherwise an estimate that is too high
// would refuse all requests and never be corrected by new samples.
Base::Instant RequestScheduler::latestStart(const Arrival &arrival) const
{
    const Lane &lane = m_services[*m_poolTable.find(arrival.service)].lanes[indexOf(arrival.priority)];
    return lane.inFlight == 0 ? arrival.deadline : arrival.deadline - lane.runTime.lowerBound();
}

Base::Duration RequestScheduler::retryAfter(Base::Duration wait)
{
    const double jitter = std::uniform_real_distribution{1.0, 1.0 + RetryAfterJitter}(m_random);
    const auto bounded = std::clamp(wait, m_limits.minRetryAfter, m_limits.maxRetryAfter);
    return Base::Duration{static_cast<Base::Duration::rep>(static_cast<double>(bounded.count()) * jitter)};
}

void RequestScheduler::dispatchWaiting(PoolIndex pool, Base::Instant now, std::vector<Decision> &out)
{
    dispatchRetries(pool, now, out);
    PrioritySet blocked;
    while (m_targets.hasFree(pool) || m_detector.hasProbing(pool)) {
        const auto selection = selectNext(pool, blocked);
        if (!selection) {
            return;
        }
        RequestQueue &queue = m_services[selection->service].lanes[selection->priority].queue;
        Request &request = queue.front();
        if (request.latestStart < now) {
            refuseWaiting(request, RefusalReason::DeadlineUnmeetable, out);
            continue;
        }
        const auto target = selectTarget(request, now);
        if (!target) {
            // No free slot is suitable: what is left is a probe, or a borrowed slot that may expire before
            // the request ends.
            blocked.set(selection->priority);
            continue;
        }
        PoolState &state = m_pools[pool];
        state.order.addDispatch(
            selection->priority, selection->waiting[selection->priority].cost, selection->waiting);
        state.cursors[selection->priority] = selection->nextCursor;
        queue.erase(request);
        dispatch(request, *target, now, out);
    }
}

// The linear scan is cheap: the retry budget limits the number of requests that wait for a retry.
void RequestScheduler::dispatchRetries(PoolIndex pool, Base::Instant now, std::vector<Decision> &out)
{
    RequestQueue &retries = m_pools[pool].retries;
    for (auto it = retries.begin(); it != retries.end();) {
        Request &request = *it++;
        if (request.latestStart < now) {
            refuseWaiting(request, RefusalReason::AttemptFailed, out);
        } else if (const auto target =
                       m_targets.choose(pool, {request.failures, attemptDeadline(request, now)}, m_random)) {
            retries.erase(request);
            dispatch(request, *target, now, out);
        }
    }
}

// The services of a pool are served round robin within a priority.
std::optional<RequestScheduler::Selection> RequestScheduler::selectNext(PoolIndex index,
                                                                        const PrioritySet &blocked) const
{
    const PoolState &pool = m_pools[index];
    Selection selection;
    std::array<std::size_t, PriorityCount> positions{};
    for (std::size_t n = 0; n < PriorityCount; ++n) {
        const bool isBatch = n == indexOf(Priority::Batch);
        const bool isFull = isBatch && pool.busy[n] >= batchSlots(m_targets.capacity(index), m_limits);
        if (isFull || blocked[n]) {
            continue;
        }
        for (std::size_t step = 0; step < pool.services.size(); ++step) {
            const std::size_t position = (pool.cursors[n] + step) % pool.services.size();
            const Lane &lane = m_services[pool.services[position]].lanes[n];
            if (!lane.queue.isEmpty()) {
                selection.waiting[n] = {true, lane.slotTime.mean()};
                positions[n] = position;
                break;
            }
        }
    }
    const auto priority = pool.order.next(selection.waiting);
    if (!priority) {
        return std::nullopt;
    }
    selection.priority = *priority;
    selection.service = pool.services[positions[*priority]];
    selection.nextCursor = positions[*priority] + 1;
    return selection;
}

std::optional<TargetIndex> RequestScheduler::selectTarget(const Request &request, Base::Instant now)
{
    const auto probe = m_detector.probeFor(request.pool, request.arrival.isIdempotent, now);
    if (probe && m_targets.at(*probe).canTake(attemptDeadline(request, now))) {
        return probe;
    }
    return m_targets.choose(request.pool, {request.failures, attemptDeadline(request, now)}, m_random);
}

void RequestScheduler::dispatch(Request &request,
                                TargetIndex target,
                                Base::Instant now,
                                std::vector<Decision> &out)
{
    const Base::Instant end = attemptDeadline(request, now);
    request.endsWithinLoan = m_targets.at(target).endsWithinLoan(end);
    m_targets.occupy(target, request.endsWithinLoan);
    ++m_pools[request.pool].busy[indexOf(request.arrival.priority)];
    ++laneOf(request).inFlight;
    ++request.attempts;
    request.state = RequestState::InFlight;
    request.target = target;
    ++m_counters.dispatched;
    m_counters.retried += request.attempts > 1 ? 1 : 0;
    out.emplace_back(Dispatch{request.arrival.id, m_targets.at(target).spec.id, request.attempts, end});
}

// The attempt of an idempotent request times out at half of the remaining time if that leaves enough time for
// a retry on another target. Batch requests are excluded, because restarting a long run costs more than it
// saves.
Base::Instant RequestScheduler::attemptDeadline(const Request &request, Base::Instant now) const
{
    const Base::Duration half = (request.arrival.deadline - now) / 2;
    const bool isRetriable = request.arrival.isIdempotent && request.attempts < m_limits.attempts
        && request.arrival.priority != Priority::Batch;
    const RunTimeEstimate &runTime = laneOf(request).runTime;
    if (!isRetriable || !runTime.hasSamples() || runTime.upperBound() >= half) {
        return request.arrival.deadline;
    }
    return now + half;
}

void RequestScheduler::handleFailure(Request &request,
                                     const AttemptResult &result,
                                     Base::Instant now,
                                     std::vector<Decision> &out)
{
    m_attribution.record(request, result, now);
    if (tryRetry(request, result, now, out)) {
        return;
    }
    const bool isAtFault = m_attribution.resolve(request, false, now);
    if (result.outcome == AttemptOutcome::Answered) {
        ++m_counters.delivered;
        out.emplace_back(Deliver{request.arrival.id});
        removeRequest(request);
        return;
    }
    const bool isLate = now >= request.arrival.deadline;
    const RefusalReason failure = isLate ? RefusalReason::DeadlinePassed : RefusalReason::AttemptFailed;
    refuse(request, isAtFault ? RefusalReason::RequestAtFault : failure, out);
    removeRequest(request);
}

bool RequestScheduler::tryRetry(Request &request,
                                const AttemptResult &result,
                                Base::Instant now,
                                std::vector<Decision> &out)
{
    if (!canRetry(request, result, now)) {
        return false;
    }
    const auto target =
        m_targets.choose(request.pool, {request.failures, attemptDeadline(request, now)}, m_random);
    // An error response of the target is delivered immediately instead of waiting for a free slot.
    const bool canWait = result.outcome != AttemptOutcome::Answered;
    if ((!target && !canWait) || !m_pools[request.pool].retryBudget.tryWithdraw()) {
        return false;
    }
    if (target) {
        dispatch(request, *target, now, out);
        return true;
    }
    request.state = RequestState::AwaitingTarget;
    m_pools[request.pool].retries.insert(request);
    m_queueDue = std::min(m_queueDue.value_or(request.latestStart), request.latestStart);
    return true;
}

// The verdict covers all attempts: NotRun means that no attempt has executed the request.
bool RequestScheduler::canRetry(const Request &request, const AttemptResult &result, Base::Instant now) const
{
    const bool isSafe = request.arrival.isIdempotent || request.verdict == Base::Verdict::NotRun;
    const bool isInTime = request.latestStart > now && request.arrival.deadline > now;
    const bool hasAttempts = request.attempts < m_limits.attempts;
    const bool hasService = !m_services[request.service].isRetired;
    return result.canResend && isSafe && isInTime && hasAttempts && hasService && hasOtherTarget(request);
}

bool RequestScheduler::hasOtherTarget(const Request &request) const
{
    std::uint32_t others = m_targets.capacity(request.pool).usableTargets;
    for (const FailedAttempt &it : request.failures) {
        const auto index = m_targets.find(it.target);
        const bool isCounted = index && m_targets.at(*index).pool == request.pool
            && m_targets.at(*index).isInService() && m_targets.at(*index).limit() > 0;
        others -= isCounted ? 1 : 0;
    }
    return others > 0;
}

void RequestScheduler::recordLatency(const Request &request, const AttemptResult &result)
{
    Lane &lane = laneOf(request);
    lane.slotTime.add(result.latency);
    if (request.arrival.priority == Priority::Batch) {
        m_pools[request.pool].batchSlotTime.add(result.latency);
    }
    if (result.outcome == AttemptOutcome::Answered && !result.isServerError) {
        lane.runTime.add(result.latency);
    }
}

void RequestScheduler::refuse(Request &request, RefusalReason reason, std::vector<Decision> &out)
{
    ++m_counters.refused;
    const bool canRetryLater = request.verdict == Base::Verdict::NotRun && reason != RefusalReason::Cancelled;
    const Base::Duration retryDelay = canRetryLater ? retryAfter({}) : Base::Duration::zero();
    out.emplace_back(Refuse{request.arrival.id, reason, request.verdict, retryDelay});
}

void RequestScheduler::refuseWaiting(Request &request, RefusalReason reason, std::vector<Decision> &out)
{
    queueOf(request).erase(request);
    m_attribution.resolve(request, false, m_now);
    refuse(request, reason, out);
    removeRequest(request);
}

void RequestScheduler::refuseExpired(RequestQueue &queue, Base::Instant now, std::vector<Decision> &out)
{
    while (!queue.isEmpty() && queue.front().latestStart <= now) {
        const bool hasExpired = queue.front().arrival.deadline <= now;
        const RefusalReason reason =
            hasExpired ? RefusalReason::DeadlinePassed : RefusalReason::DeadlineUnmeetable;
        refuseWaiting(queue.front(), reason, out);
    }
    if (!queue.isEmpty()) {
        const Base::Instant due = queue.front().latestStart;
        m_queueDue = std::min(m_queueDue.value_or(due), due);
    }
}

void RequestScheduler::refuseRequestsOfRetiredServices(std::vector<Decision> &out)
{
    for (ServiceState &service : m_services) {
        if (!service.isRetired) {
            continue;
        }
        for (Lane &lane : service.lanes) {
            while (!lane.queue.isEmpty()) {
                refuseWaiting(lane.queue.front(), RefusalReason::UnknownService, out);
            }
        }
    }
}

void RequestScheduler::removeRequest(Request &request)
{
    --m_services[request.service].requests;
    m_requests.erase(request);
}

RequestQueue &RequestScheduler::queueOf(const Request &request)
{
    const bool isRetry = request.state == RequestState::AwaitingTarget;
    return isRetry ? m_pools[request.pool].retries : laneOf(request).queue;
}

Lane &RequestScheduler::laneOf(const Request &request)
{
    return m_services[request.service].lanes[indexOf(request.arrival.priority)];
}

const Lane &RequestScheduler::laneOf(const Request &request) const
{
    return m_services[request.service].lanes[indexOf(request.arrival.priority)];
}

} // namespace Scheduling
