#include <scheduling/requestscheduler.h>

#include <algorithm>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Document::Priority;
using Scheduling::Allowance;
using Scheduling::Arrival;
using Scheduling::AttemptOutcome;
using Scheduling::AttemptResult;
using Scheduling::Decision;
using Scheduling::Deliver;
using Scheduling::Dispatch;
using Scheduling::RefusalReason;
using Scheduling::Refuse;
using Scheduling::RequestId;
using Scheduling::RequestScheduler;
using Scheduling::SchedulerLimits;
using Scheduling::ServiceId;
using Scheduling::ServiceSpec;
using Scheduling::TargetId;
using Scheduling::TargetSpec;

namespace
{

const Base::PoolName Pool{"proofs"};
const Base::AvailabilityZoneName Here{"a"};
const Base::AvailabilityZoneName There{"b"};

TargetSpec target(std::uint32_t id, std::uint32_t slots, const Base::AvailabilityZoneName &zone = Here)
{
    return {TargetId{id}, {"instance" + std::to_string(id)}, Pool, zone, slots, 64, false};
}

constexpr AttemptResult answered(Base::Duration latency)
{
    return {AttemptOutcome::Answered, latency, false, true};
}

} // namespace

// clang-format off
TEST_GROUP(RequestScheduler)
{
    SchedulerLimits limits;
    std::unique_ptr<RequestScheduler> scheduler;
    std::vector<Decision> out;
    std::uint64_t lastId = 0;

    void setFleet(const std::vector<TargetSpec> &targets)
    {
        if (!scheduler) {
            scheduler = std::make_unique<RequestScheduler>(limits, 1);
        }
        const std::vector<ServiceSpec> services{{ServiceId{1}, Pool, 500}};
        scheduler->setFleet(services, targets);
    }

    std::vector<Decision> arrive(Base::Duration at, Base::Duration deadline, bool isIdempotent = true,
                                 Priority priority = Priority::Interactive)
    {
        const Arrival arrival{RequestId{++lastId}, ServiceId{1}, priority, Base::instantAt(deadline), isIdempotent};
        scheduler->arrive(arrival, Base::instantAt(at), out);
        return std::exchange(out, {});
    }

    std::vector<Decision> end(std::uint64_t id, const AttemptResult &result, Base::Duration at)
    {
        scheduler->attemptEnded(RequestId{id}, result, Base::instantAt(at), out);
        return std::exchange(out, {});
    }

    std::vector<Decision> advance(Base::Duration at)
    {
        scheduler->advance(Base::instantAt(at), out);
        return std::exchange(out, {});
    }

    std::uint32_t targetOf(const std::vector<Decision> &decisions)
    {
        const auto it = std::find_if(decisions.begin(), decisions.end(), [](const Decision &decision) {
            return std::holds_alternative<Dispatch>(decision);
        });
        return it == decisions.end() ? 0 : std::get<Dispatch>(*it).target.value;
    }

    void checkRefused(const std::vector<Decision> &decisions, RefusalReason reason, Base::Verdict verdict)
    {
        LONGS_EQUAL(1, decisions.size());
        const auto *refuse = std::get_if<Refuse>(&decisions.front());
        CHECK(refuse != nullptr);
        STRCMP_EQUAL(toString(reason).data(), toString(refuse->reason).data());
        CHECK(refuse->verdict == verdict);
    }
};
// clang-format on

TEST(RequestScheduler, TargetsInTheOwnZoneArePreferred)
{
    limits.zone = Here;
    setFleet({target(1, 2, There), target(2, 2, Here), target(3, 2, There)});
    LONGS_EQUAL(2, targetOf(arrive(0ms, 1s)));
    LONGS_EQUAL(2, targetOf(arrive(0ms, 1s)));
    CHECK(targetOf(arrive(0ms, 1s)) != 2);
}

TEST(RequestScheduler, TheLessLoadedOfTwoTargetsIsChosen)
{
    setFleet({target(1, 8), target(2, 8)});
    int onFirst = 0;
    for (int n = 0; n < 8; ++n) {
        onFirst += targetOf(arrive(0ms, 1s)) == 1 ? 1 : 0;
    }
    LONGS_EQUAL(4, onFirst);
}

TEST(RequestScheduler, ADrainingTargetFinishesButGetsNoNewWork)
{
    setFleet({target(1, 8)});
    LONGS_EQUAL(1, targetOf(arrive(0ms, 1s)));
    auto draining = target(1, 8);
    draining.isDraining = true;
    setFleet({draining, target(2, 8)});
    for (int n = 0; n < 8; ++n) {
        LONGS_EQUAL(2, targetOf(arrive(1ms, 1s)));
    }
    const auto decisions = end(1, answered(2ms), 2ms);
    CHECK(std::holds_alternative<Deliver>(decisions.front()));
}

TEST(RequestScheduler, APoolWithoutTargetsRefusesAtOnce)
{
    setFleet({});
    checkRefused(arrive(0ms, 1s), RefusalReason::NoTarget, Base::Verdict::NotRun);
}

TEST(RequestScheduler, APoolWithoutAnAllowanceQueues)
{
    setFleet({target(1, 8)});
    scheduler->setAllowance(TargetId{1}, 0);
    advance(0ms);
    LONGS_EQUAL(0, arrive(0ms, 1s).size());
    LONGS_EQUAL(1, scheduler->statistics().pools.front().queuedForeground);
    scheduler->setAllowance(TargetId{1}, Allowance{0, 1, Base::instantAt(2s)});
    LONGS_EQUAL(1, targetOf(advance(20ms)));
}

TEST(RequestScheduler, UnmeetableDeadlineIsRefusedAtOnceWithRetryAfter)
{
    setFleet({target(1, 1)});
    for (std::uint64_t n = 1; n <= 8; ++n) {
        arrive(100ms * n, 10s);
        end(n, answered(100ms), 100ms * (n + 1));
    }
    CHECK_EQUAL(1, targetOf(arrive(1s, 2s)));
    LONGS_EQUAL(0, arrive(1s, 1250ms).size());
    const auto decisions = arrive(1s, 1250ms);
    checkRefused(decisions, RefusalReason::DeadlineUnmeetable, Base::Verdict::NotRun);
    CHECK(std::get<Refuse>(decisions.front()).retryAfter >= limits.minRetryAfter);
}

TEST(RequestScheduler, AFullQueueRefuses)
{
    limits.maxQueueLength = {1, 1, 1};
    setFleet({target(1, 1)});
    arrive(0ms, 1s);
    LONGS_EQUAL(0, arrive(0ms, 10s).size());
    checkRefused(arrive(0ms, 10s), RefusalReason::QueueFull, Base::Verdict::NotRun);
}

TEST(RequestScheduler, AWaitingRequestIsRefusedAtItsDeadline)
{
    setFleet({target(1, 1)});
    advance(0ms);
    arrive(0ms, 1s);
    LONGS_EQUAL(0, arrive(0ms, 500ms).size());
    CHECK(scheduler->nextDue() == Base::instantAt(500ms) || *scheduler->nextDue() < Base::instantAt(500ms));
    checkRefused(advance(500ms), RefusalReason::DeadlinePassed, Base::Verdict::NotRun);
}

TEST(RequestScheduler, EarlierDeadlinesGoFirst)
{
    setFleet({target(1, 1)});
    arrive(0ms, 10s);
    arrive(0ms, 9s);
    arrive(0ms, 8s);
    const auto decisions = end(1, answered(1ms), 1ms);
    CHECK(std::get<Dispatch>(decisions.back()).request == RequestId{3});
}

TEST(RequestScheduler, InteractiveGoesBeforeUrgentBeforeBatch)
{
    setFleet({target(1, 1)});
    arrive(0ms, 10s);
    arrive(0ms, 10s, true, Priority::Batch);
    arrive(0ms, 10s, true, Priority::Urgent);
    arrive(0ms, 10s, true, Priority::Interactive);
    CHECK(std::get<Dispatch>(end(1, answered(1ms), 1ms).back()).request == RequestId{4});
    CHECK(std::get<Dispatch>(end(4, answered(1ms), 2ms).back()).request == RequestId{3});
    CHECK(std::get<Dispatch>(end(3, answered(1ms), 3ms).back()).request == RequestId{2});
}

// With a guaranteed share of 5 %, a batch request of 50 ms is dispatched after 950 interactive ones of 1 ms.
TEST(RequestScheduler, BatchIsNotStarved)
{
    constexpr int MaxDispatches = 1000;
    limits.maxQueueLength = {10, 10, 10};
    setFleet({target(1, 1)});
    arrive(0ms, 1h);
    arrive(0ms, 1h, true, Priority::Batch);
    int dispatches = 0;
    std::uint64_t running = 1;
    while (running != 2 && dispatches < MaxDispatches) {
        arrive(1ms * dispatches, 1h);
        running = std::get<Dispatch>(end(running, answered(1ms), 1ms * ++dispatches).back()).request.value;
    }
    CHECK(dispatches < MaxDispatches);
}

TEST(RequestScheduler, ACancelledRequestEndsAtOnceAndKeepsItsSlotUntilTheAttemptEnds)
{
    setFleet({target(1, 1)});
    arrive(0ms, 10s);
    arrive(0ms, 10s);
    scheduler->cancel(RequestId{1}, Base::instantAt(1ms), out);
    checkRefused(std::exchange(out, {}), RefusalReason::Cancelled, Base::Verdict::MayHaveRun);
    const auto decisions = end(1, {AttemptOutcome::ConnectionLostAfterSend, 1ms, false, true}, 2ms);
    LONGS_EQUAL(1, decisions.size());
    CHECK(std::get<Dispatch>(decisions.front()).request == RequestId{2});
    arrive(2ms, 10s);
    scheduler->cancel(RequestId{3}, Base::instantAt(3ms), out);
    checkRefused(out, RefusalReason::Cancelled, Base::Verdict::NotRun);
}

TEST(RequestScheduler, ARetryWaitsForAnotherTarget)
{
    setFleet({target(1, 1), target(2, 1)});
    const auto first = targetOf(arrive(0ms, 10s));
    const auto second = targetOf(arrive(0ms, 10s));
    LONGS_EQUAL(0, end(1, {AttemptOutcome::ConnectionLostAfterSend, 1ms, false, true}, 1ms).size());
    LONGS_EQUAL(first, targetOf(arrive(1ms, 10s)));
    const auto decisions = end(2, answered(2ms), 2ms);
    LONGS_EQUAL(second, targetOf(decisions));
    CHECK(std::get<Dispatch>(decisions.back()).request == RequestId{1});
    LONGS_EQUAL(2, std::get<Dispatch>(decisions.back()).attempt);
}

TEST(RequestScheduler, NonIdempotentRequestIsRetriedOnlyIfNotRun)
{
    setFleet({target(1, 1), target(2, 1)});
    const auto first = targetOf(arrive(0ms, 10s, false));
    const auto second = targetOf(end(1, {AttemptOutcome::ConnectFailed, 1ms, false, true}, 1ms));
    CHECK(second != 0 && second != first);
    const auto decisions = end(1, {AttemptOutcome::ConnectionLostAfterSend, 1ms, false, true}, 2ms);
    checkRefused(decisions, RefusalReason::AttemptFailed, Base::Verdict::MayHaveRun);
}

TEST(RequestScheduler, ATargetErrorIsDeliveredIfItCantBeRetried)
{
    setFleet({target(1, 1), target(2, 1)});
    arrive(0ms, 10s, false);
    const auto decisions = end(1, {AttemptOutcome::Answered, 1ms, true, true}, 1ms);
    CHECK(std::holds_alternative<Deliver>(decisions.front()));
}

TEST(RequestScheduler, ANewAllowanceDispatchesWaitingRequests)
{
    setFleet({target(1, 8)});
    scheduler->setAllowance(TargetId{1}, 1);
    advance(0ms);
    arrive(0ms, 10s);
    arrive(0ms, 10s);
    scheduler->setAllowance(TargetId{1}, 2);
    CHECK(*scheduler->nextDue() <= Base::instantAt(0ms));
    LONGS_EQUAL(1, targetOf(advance(1ms)));
}

TEST(RequestScheduler, RequestsOfARemovedServiceAreRefused)
{
    setFleet({target(1, 1)});
    arrive(0ms, 10s);
    arrive(0ms, 10s);
    scheduler->setFleet({}, {});
    checkRefused(advance(1ms), RefusalReason::UnknownService, Base::Verdict::NotRun);
    CHECK(std::holds_alternative<Deliver>(end(1, answered(2ms), 2ms).front()));
    LONGS_EQUAL(0, scheduler->statistics().requests);
    LONGS_EQUAL(0, scheduler->statistics().pools.front().busyForeground);
}

TEST(RequestScheduler, ProbesRunOneAtATimeAndPreferIdempotentRequests)
{
    setFleet({target(1, 8), target(2, 8), target(3, 8)});
    advance(0ms);
    for (int n = 0; n < 200; ++n) {
        const bool isBad = targetOf(arrive(1ms * n, 1h, false)) == 1;
        const auto outcome = isBad ? AttemptOutcome::ConnectFailed : AttemptOutcome::Answered;
        end(lastId, {outcome, 1ms, false, false}, 1ms * n);
    }
    LONGS_EQUAL(1, scheduler->statistics().pools.front().ejectedTargets);
    const auto due = scheduler->nextDue()->time_since_epoch();
    advance(due);
    CHECK(targetOf(arrive(due, 1h, false)) != 1);
    LONGS_EQUAL(1, targetOf(arrive(due, 1h, true)));
    CHECK(targetOf(arrive(due, 1h, true)) != 1);
    end(lastId - 1, answered(1ms), due + 1ms);
    LONGS_EQUAL(1, targetOf(arrive(due + limits.outliers.nonIdempotentProbeDelay, 1h, false)));
}

TEST(RequestScheduler, BorrowedSlotsTakeOnlyRequestsThatEndBeforeTheyExpire)
{
    setFleet({target(1, 8)});
    scheduler->setAllowance(TargetId{1}, {1, 2, Base::instantAt(1s)});
    advance(0ms);
    LONGS_EQUAL(1, targetOf(arrive(0ms, 10s, false)));
    LONGS_EQUAL(0, arrive(0ms, 10s, false).size());
    LONGS_EQUAL(1, targetOf(arrive(0ms, 1s, false)));
    LONGS_EQUAL(1, targetOf(arrive(0ms, 500ms, false)));
    LONGS_EQUAL(3, scheduler->usageOf(TargetId{1}).inFlight);
    LONGS_EQUAL(1, scheduler->usageOf(TargetId{1}).beyondLoan);
    LONGS_EQUAL(0, arrive(0ms, 400ms, false).size());
    LONGS_EQUAL(1, targetOf(end(3, answered(1ms), 300ms)));
}
