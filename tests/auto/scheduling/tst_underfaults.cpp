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

/// One run of a scheduler and what came of it.
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
        const bool isEndedOnce = std::all_of(outcome.records.begin(), outcome.records.end(), [](const RequestRecord &it) {
            return it.outcomes == 1;
        });
        checkThat(isEndedOnce, "every request has one outcome", seed);
        checkThat(outcome.maxInFlight <= 8, "slots stay within the allowance", seed);
    }

    // Targets 1 and 2 of 10 fail; requests can't be retried.
    void checkFailingTargetsAreLeftOut(Behaviour behaviour)
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
            checkThat(shareOf(result.records, isLateFailure) < 0.01, "ours fails less than 1 %", seed);
            const Outcome naive = runNaive(seed, prepare);
            checkThat(attemptsPerRequest(naive.records) > 1.15, "naive keeps failing on them", seed);
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
        checkThat(attemptsPerRequest(result.records) < 1.2, "ours doesn't add to an outage", seed);
        checkThat(result.maxEjected <= 3, "ours keeps what the pool must", seed);
        checkThat(attemptsPerRequest(runNaive(seed, prepare).records) > 3, "naive storms", seed);
    }
}

// The pool holds 1600 interactive requests a second. Batch may hold 80 % of the slots and is guaranteed 5 %
// of the time, so that an overload of 2500 a second leaves interactive requests 48 % at the least.
TEST(UnderFaults, InteractiveRequestsStayOnTimeInASurgeAndBatchFinishes)
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
        checkThat(surgeGoodput(result.records) >= 0.48, "the surge is served from what the pool holds", seed);
        checkThat(shareOf(result.records, isLostBatch) == 0, "batch finishes", seed);
        checkThat(shareOf(result.records, isLateRefusal) == 0, "nothing is held past its deadline", seed);
        const Outcome naive = runNaive(seed, prepare);
        checkThat(
            latencyPercentile(0.99, naive.records, Priority::Interactive) > 300ms, "naive is late", seed);
        checkThat(surgeGoodput(naive.records) < 0.48, "naive wastes the pool on late answers", seed);
    }
}

TEST(UnderFaults, TargetsThatFailFastAreLeftOut)
{
    checkFailingTargetsAreLeftOut(Behaviour::FailsFast);
}

TEST(UnderFaults, TargetsThatFailSlowlyAreLeftOut)
{
    checkFailingTargetsAreLeftOut(Behaviour::FailsSlowly);
}

TEST(UnderFaults, TargetsThatRefuseConnectionsAreLeftOut)
{
    checkFailingTargetsAreLeftOut(Behaviour::RefusesConnections);
}

TEST(UnderFaults, EjectionLeavesThePoolWhatItMustKeepAndEnds)
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
        checkThat(result.maxEjected == 3, "three of ten may be ejected", seed);
        checkThat(result.ejectedAtEnd == 0, "targets that recovered are let back", seed);
        const Outcome naive = runNaive(seed, prepare, true);
        checkThat(naive.maxEjected > 3, "naive has no cap", seed);
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
        checkThat(result.maxEjected == 0, "no target is blamed", seed);
        const auto refusedAtFault = refusedFor(result.records, Scheduling::RefusalReason::RequestAtFault);
        checkThat(refusedAtFault > 0, "the request gets its own error", seed);
        checkThat(runNaive(seed, prepare, true).maxEjected > 0, "naive blames the targets", seed);
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
        checkThat(shareOf(result.records, isLost) < 0.01, "retried in time", seed);
        const auto isLate =
            shareOf(runNaive(seed, prepare).records, [](const RequestRecord &it) { return it.attempts > 1; });
        checkThat(isLate > 0.08, "naive goes on asking it", seed);
    }
}
