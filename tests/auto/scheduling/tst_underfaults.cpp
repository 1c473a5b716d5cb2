#include "naivescheduler.h"
#include "simulation.h"

#include <scheduling/requestscheduler.h>

#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Document::Priority;
using Scheduling::RequestScheduler;

namespace
{

constexpr std::uint64_t Seeds = 5;
const Base::PoolName Pool{"proofs"};
const std::vector<Scheduling::ServiceSpec> Services{{Scheduling::ServiceId{1}, Pool, 700}};

/// The results of one simulated run of a scheduler.
struct Outcome {
    std::vector<RequestRecord> records;
    std::uint32_t maxEjected = 0;
    std::uint32_t ejectedAtEnd = 0;
    std::uint32_t maxInFlight = 0;
};

std::uint32_t ejectedOf(const RequestScheduler &scheduler)
{
    return scheduler.statistics().pools.front().ejectedTargets;
}

std::uint32_t ejectedOf(const NaiveScheduler &scheduler)
{
    return scheduler.ejectedTargets();
}

template<typename Scheduler, typename Prepare>
Outcome run(Scheduler &scheduler, std::uint64_t seed, Prepare prepare)
{
    const auto targets = targetsOf(10, Pool);
    scheduler.setFleet(Services, targets);
    Simulation<Scheduler> simulation(scheduler, targets, seed);
    Outcome outcome;
    for (auto when = 0ms; when < 30s; when += 100ms) {
        simulation.at(when, [&] { outcome.maxEjected = std::max(outcome.maxEjected, ejectedOf(scheduler)); });
    }
    prepare(simulation);
    simulation.run();
    outcome.records = simulation.records();
    outcome.ejectedAtEnd = ejectedOf(scheduler);
    outcome.maxInFlight = simulation.maxInFlight();
    return outcome;
}

template<typename Prepare>
Outcome runRequestScheduler(std::uint64_t seed, Prepare prepare)
{
    RequestScheduler scheduler({}, seed);
    return run(scheduler, seed, prepare);
}

template<typename Prepare>
Outcome runNaive(std::uint64_t seed, Prepare prepare, bool isEjecting = false)
{
    NaiveScheduler scheduler(isEjecting);
    return run(scheduler, seed, prepare);
}

template<typename Predicate>
double shareOf(const std::vector<RequestRecord> &records, Predicate predicate)
{
    const auto n = std::count_if(records.begin(), records.end(), predicate);
    return static_cast<double>(n) / static_cast<double>(records.size());
}

double attemptsPerRequest(const std::vector<RequestRecord> &records)
{
    const auto sum =
        std::accumulate(records.begin(), records.end(), 0U, [](std::uint32_t n, const RequestRecord &it) {
            return n + it.attempts;
        });
    return static_cast<double>(sum) / static_cast<double>(records.size());
}

std::uint64_t refusedFor(const std::vector<RequestRecord> &records, Scheduling::RefusalReason reason)
{
    return static_cast<std::uint64_t>(
        std::count_if(records.begin(), records.end(), [reason](const RequestRecord &it) {
            return !it.isDelivered && it.refusal.reason == reason;
        }));
}

} // namespace

// clang-format off
TEST_GROUP(UnderFaults)
{
    void checkThat(bool isTrue, const char *what, std::uint64_t seed)
    {
        CHECK_TEXT(isTrue, (std::string(what) + ", seed " + std::to_string(seed)).c_str());
    }

    void checkLimits(const Outcome &outcome, std::uint64_t seed)
    {
        const bool isEndedOnce =
            std::all_of(outcome.records.begin(), outcome.records.end(), [](const RequestRecord &it) {
                return it.outcomes == 1;
            });
        checkThat(isEndedOnce, "every request has one outcome", seed);
        checkThat(outcome.maxInFlight <= 8, "attempts in flight stay within the allowance", seed);
    }

    // Targets 1 and 2 of 10 fail. The requests aren't idempotent, so that executed ones aren't retried.
    void checkFailingTargetsAreEjected(Behaviour behaviour)
    {
        const auto prepare = [behaviour](auto &simulation) {
            simulation.setBehaviour(1, behaviour);
            simulation.setBehaviour(2, behaviour);
            simulation.addLoad({.perSecond = 400, .until = 20s, .deadline = 2s, .isIdempotent = false});
        };
        const auto isLateFailure = [](const RequestRecord &it) {
            return it.arrivedAt > Base::instantAt(5s) && !it.isSuccessful;
        };
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            const Outcome result = runRequestScheduler(seed, prepare);
            checkLimits(result, seed);
            checkThat(
                shareOf(result.records, isLateFailure) < 0.01, "less than 1 % of the requests fail", seed);
            const Outcome naive = runNaive(seed, prepare);
            checkThat(
                attemptsPerRequest(naive.records) > 1.15, "NaiveScheduler keeps using failing targets", seed);
        }
    }
};
// clang-format on

TEST(UnderFaults, AFullOutageCausesNoRetryStorm)
{
    const auto prepare = [](auto &simulation) {
        for (std::uint32_t n = 1; n <= 10; ++n) {
            simulation.setBehaviour(n, Behaviour::RefusesConnections);
        }
        simulation.addLoad({.perSecond = 200, .until = 10s, .deadline = 1s});
    };
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const Outcome result = runRequestScheduler(seed, prepare);
        checkLimits(result, seed);
        checkThat(
            attemptsPerRequest(result.records) < 1.2, "RequestScheduler hardly retries in an outage", seed);
        checkThat(result.maxEjected <= 3, "ejections leave the required share in service", seed);
        checkThat(attemptsPerRequest(runNaive(seed, prepare).records) > 3,
                  "NaiveScheduler causes a retry storm",
                  seed);
    }
}

// The pool has capacity for 1600 interactive requests per second. Batch requests may use 80 % of the slots
// and have a guaranteed share of 5 % of the slot time. Therefore at least 48 % of the interactive requests
// can be served at an overload of 2500 requests per second.
TEST(UnderFaults, InteractiveRequestsMeetDeadlinesInASurgeAndBatchCompletes)
{
    const auto prepare = [](auto &simulation) {
        simulation.setRunTime(Priority::Batch, 500ms);
        simulation.addLoad({.perSecond = 500, .until = 3s, .deadline = 300ms});
        simulation.addLoad({.perSecond = 2500, .from = 3s, .until = 7s, .deadline = 300ms});
        simulation.addLoad({.perSecond = 25, .from = 7s, .until = 12s, .deadline = 300ms});
        simulation.addLoad({.priority = Priority::Batch, .perSecond = 40, .until = 9s, .deadline = 60s});
    };
    const auto isSurge = [](const RequestRecord &it) {
        return it.arrival.priority == Priority::Interactive && it.arrivedAt >= Base::instantAt(3s)
            && it.arrivedAt < Base::instantAt(7s);
    };
    const auto isLostBatch = [](const RequestRecord &it) {
        return it.arrival.priority == Priority::Batch && !it.isSuccessful;
    };
    const auto isLateRefusal = [](const RequestRecord &it) {
        return it.attempts == 0 && it.endedAt > it.arrival.deadline;
    };
    const auto surgeGoodput = [&](const std::vector<RequestRecord> &records) {
        const auto onTime =
            shareOf(records, [&](const RequestRecord &it) { return isSurge(it) && it.isOnTime(); });
        return onTime / shareOf(records, isSurge);
    };
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const Outcome result = runRequestScheduler(seed, prepare);
        checkLimits(result, seed);
        checkThat(latencyPercentile(0.99, result.records, Priority::Interactive) <= 300ms,
                  "p99 within the deadline",
                  seed);
        checkThat(
            surgeGoodput(result.records) >= 0.48, "the available capacity is used during the surge", seed);
        checkThat(shareOf(result.records, isLostBatch) == 0, "all batch requests succeed", seed);
        checkThat(
            shareOf(result.records, isLateRefusal) == 0, "no request is refused after its deadline", seed);
        const Outcome naive = runNaive(seed, prepare);
        checkThat(latencyPercentile(0.99, naive.records, Priority::Interactive) > 300ms,
                  "the p99 of NaiveScheduler exceeds the deadline",
                  seed);
        checkThat(surgeGoodput(naive.records) < 0.48, "NaiveScheduler spends capacity on late answers", seed);
    }
}

TEST(UnderFaults, TargetsThatFailFastAreEjected)
{
    checkFailingTargetsAreEjected(Behaviour::FailsFast);
}

TEST(UnderFaults, TargetsThatFailSlowlyAreEjected)
{
    checkFailingTargetsAreEjected(Behaviour::FailsSlowly);
}

TEST(UnderFaults, TargetsThatRefuseConnectionsAreEjected)
{
    checkFailingTargetsAreEjected(Behaviour::RefusesConnections);
}

TEST(UnderFaults, EjectionKeepsTheRequiredShareInServiceAndEnds)
{
    const auto prepare = [](auto &simulation) {
        for (std::uint32_t n = 1; n <= 6; ++n) {
            simulation.setBehaviour(n, Behaviour::FailsFast);
            simulation.at(8s, [&simulation, n] { simulation.setBehaviour(n, Behaviour::Serves); });
        }
        simulation.addLoad({.perSecond = 200, .until = 60s, .deadline = 2s});
    };
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const Outcome result = runRequestScheduler(seed, prepare);
        checkLimits(result, seed);
        checkThat(result.maxEjected == 3, "three of ten targets are ejected at most", seed);
        checkThat(result.ejectedAtEnd == 0, "recovered targets return to service", seed);
        const Outcome naive = runNaive(seed, prepare, true);
        checkThat(naive.maxEjected > 3, "NaiveScheduler ejects without a limit", seed);
    }
}

TEST(UnderFaults, FaultyRequestsEjectNoTarget)
{
    const auto prepare = [](auto &simulation) {
        simulation.addLoad({.perSecond = 200, .until = 20s, .deadline = 2s, .faultyShare = 0.2});
    };
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const Outcome result = runRequestScheduler(seed, prepare);
        checkLimits(result, seed);
        checkThat(result.maxEjected == 0, "no target is ejected", seed);
        const auto refusedAtFault = refusedFor(result.records, Scheduling::RefusalReason::RequestAtFault);
        checkThat(refusedAtFault > 0, "faulty requests are refused as RequestAtFault", seed);
        checkThat(runNaive(seed, prepare, true).maxEjected > 0, "NaiveScheduler ejects targets", seed);
    }
}

TEST(UnderFaults, IdempotentRequestsSurviveASilentTarget)
{
    const auto prepare = [](auto &simulation) {
        simulation.setBehaviour(1, Behaviour::Silent);
        simulation.addLoad({.perSecond = 100, .until = 20s, .deadline = 1s});
    };
    const auto isLost = [](const RequestRecord &it) {
        return it.arrivedAt > Base::instantAt(2s) && !it.isOnTime();
    };
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const Outcome result = runRequestScheduler(seed, prepare);
        checkLimits(result, seed);
        checkThat(shareOf(result.records, isLost) < 0.01, "requests are retried in time", seed);
        const auto isLate =
            shareOf(runNaive(seed, prepare).records, [](const RequestRecord &it) { return it.attempts > 1; });
        checkThat(isLate > 0.08, "NaiveScheduler continues to use the silent target", seed);
    }
}
