#include "simulatedplatform.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using JobService::ReportedState;

namespace
{

void checkNoViolations(const SimulatedPlatform &world)
{
    for (const std::string &it : world.violations) {
        FAIL(it.c_str());
    }
}

Jobs::WallTime wallAfter(const SimulatedPlatform &world, std::chrono::milliseconds time)
{
    return Jobs::WallTime(
        std::chrono::duration_cast<Jobs::Milliseconds>(world.timers.now().time_since_epoch() + time));
}

// Kills the owner of the only shard and replaces it by a new member.
void replaceOwner(SimulatedPlatform &world, const std::string &by)
{
    const std::string owner = world.owner(0)->name;
    world.addMember(by);
    world.kill(owner);
}

} // namespace

// Guarantees for runs. SimulatedPlatform checks them at every start, also in the seeded histories of Faults.
// Each test here creates a load under which one of them is hard to keep.
TEST_GROUP(Rules)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        for (const char *it : {"w1", "w2", "w3"}) {
            world.addWorker(it, 4000);
        }
        world.addMember("m1");
    }

    /// Submits a long-running job "a" of 24 tasks, at most two on one worker and at most four unavailable.
    void submitLongRunningJob()
    {
        world.taskTime = 600s;
        for (int n = 4; n <= 24; ++n) {
            world.addWorker("w" + std::to_string(n), 4000);
        }
        world.publishWorkers();
        auto job = SimulatedPlatform::makeJob("a", 1, 24);
        job.stages[0].isLongRunning = true;
        job.stages[0].tasksPerWorker = 2;
        job.stages[0].maxUnavailable = 4;
        CHECK(world.submit(job));
        world.run(3s);
        world.checksAvailability = true;
    }

    void evacuate(std::initializer_list<const char *> workers)
    {
        world.owner(0)->host.handle({.shard = 0,
                                     .operation = JobService::Operation::Evacuate,
                                     .workers = {workers.begin(), workers.end()}},
                                    [](const JobService::JobReply &) {});
    }

    SimulatedPlatform world;
};

TEST(Rules, StageWaitsForDependenciesAcrossOwners)
{
    auto job = SimulatedPlatform::makeJob("a", 4, 3);
    job.stages[3].dependsOn = {0, 2};
    CHECK(world.submit(job));
    world.run(900ms);
    replaceOwner(world, "m2");
    world.run(20s);
    CHECK(world.state("a") == ReportedState::Completed);
    LONGS_EQUAL(12, world.startedRuns.size());
    checkNoViolations(world);
}

TEST(Rules, OccurrencesStartInTimeAndNotEarly)
{
    auto job = SimulatedPlatform::makeJob("a", 1, 2);
    job.firstDue = wallAfter(world, 2s);
    job.interval = 1500ms;
    job.occurrences = 4;
    const Base::Instant due = world.timers.now() + 2s;
    CHECK(world.submit(job));
    world.run(12s);
    CHECK(world.state("a") == ReportedState::Completed);
    for (std::uint32_t n = 0; n < 4; ++n) {
        const auto late = world.startedAt[{"a", n, 0, 0}] - (due + n * 1500ms);
        CHECK(late < 300ms);
    }
    checkNoViolations(world);
}

TEST(Rules, TimedJobContinuesAcrossOwners)
{
    auto job = SimulatedPlatform::makeJob("a", 2, 2);
    job.firstDue = wallAfter(world, 1s);
    job.interval = 4s;
    job.occurrences = 4;
    CHECK(world.submit(job));
    world.run(2s);
    replaceOwner(world, "m2");
    world.run(5s);
    replaceOwner(world, "m3");
    world.run(20s);
    CHECK(world.state("a") == ReportedState::Completed);
    LONGS_EQUAL(16, world.startedRuns.size());
    checkNoViolations(world);
}

// Gang tasks that wait for each other would hold capacity that no other job can use.
TEST(Rules, GangStartsCompletelyOrNotAtAll)
{
    CHECK(world.submit(SimulatedPlatform::makeJob("filler", 1, 10))); // leaves room for two of twelve tasks
    auto gang = SimulatedPlatform::makeJob("gang", 1, 4);
    gang.stages[0].isGang = true;
    CHECK(world.submit(gang));
    world.run(400ms);
    LONGS_EQUAL(10, world.startedRuns.size());
    world.run(5s);
    Base::Instant first = Base::Instant::max();
    Base::Instant last{};
    for (std::uint32_t n = 0; n < 4; ++n) {
        const Base::Instant at = world.startedAt[{"gang", 0, 0, n}];
        first = std::min(first, at);
        last = std::max(last, at);
    }
    CHECK(last - first < 100ms);
    CHECK(world.state("gang") == ReportedState::Completed);
    checkNoViolations(world);
}

TEST(Rules, AGangOfWhichOneTaskIsMissingStartsAgain)
{
    world.workers["w3"].isListed = false;
    world.publishWorkers();
    world.run(1s);
    world.workers["w2"].unreachableFrom.insert("m1");
    auto gang = SimulatedPlatform::makeJob("gang", 2, 2);
    gang.stages[0].isGang = true;
    gang.stages[0].tasksPerWorker = 1;
    CHECK(world.submit(gang));
    world.run(1s);
    LONGS_EQUAL(1, world.startedRuns.size());
    LONGS_EQUAL(1, world.runsOf("gang"));
    world.workers["w2"].unreachableFrom.clear();
    world.run(12s);
    CHECK(world.state("gang") == ReportedState::Completed);
    checkNoViolations(world);
}

TEST(Rules, AttemptsAreCountedAcrossOwners)
{
    world.failureShare = 1;
    auto job = SimulatedPlatform::makeJob("a", 1, 1);
    job.queue.maxAttempts = 3;
    CHECK(world.submit(job));
    world.run(1s);
    replaceOwner(world, "m2");
    world.run(20s);
    CHECK(world.state("a") == ReportedState::Failed);
    const Jobs::TaskId task{"a", 0, 0, 0};
    CHECK(world.startedRuns[task] >= 3);
    checkNoViolations(world);
}

TEST(Rules, WorkersWithoutCapacityCheckAreNotOverloaded)
{
    for (auto &[id, worker] : world.workers) {
        worker.enforcesCapacity = false;
    }
    for (int n = 0; n < 12; ++n) {
        CHECK(world.submit(SimulatedPlatform::makeJob("j" + std::to_string(n), 2, 3)));
    }
    world.run(1s);
    replaceOwner(world, "m2");
    world.workers["w1"].delayedShare = 0.5;
    world.run(10s);
    world.workers["w1"].delayedShare = 0;
    for (int n = 0; n < 30; ++n) {
        world.run(1s);
        world.publishWorkers();
    }
    for (int n = 0; n < 12; ++n) {
        CHECK(world.state("j" + std::to_string(n)) == ReportedState::Completed);
    }
    checkNoViolations(world);
}

TEST(Rules, RefusedJobNeverStarts)
{
    world.run(1s);
    world.isStoreDown = true;
    CHECK(!world.submit(SimulatedPlatform::makeJob("a", 1, 2), 1500ms));
    world.isStoreDown = false;
    world.run(10s);
    CHECK(world.startedRuns.empty());
    CHECK(!world.state("a"));
    checkNoViolations(world);
}

TEST(Rules, LabelsAndTasksPerWorkerAreRespected)
{
    world.workers["w2"].info.labels.emplace_back("fast");
    world.workers["w3"].info.labels.emplace_back("fast");
    world.publishWorkers();
    auto job = SimulatedPlatform::makeJob("a", 2, 5);
    job.stages[0].requiredLabel = "fast";
    job.stages[1].tasksPerWorker = 1;
    CHECK(world.submit(job));
    world.run(600ms);
    replaceOwner(world, "m2");
    world.run(20s);
    CHECK(world.state("a") == ReportedState::Completed);
    checkNoViolations(world);
}

TEST(Rules, DrainingWorkerGetsNoNewRuns)
{
    world.run(500ms);
    world.workers["w1"].info.isDraining = true;
    world.workers["w1"].info.drainTimeLeft = 5s;
    world.publishWorkers();
    world.run(200ms);
    for (int n = 0; n < 6; ++n) {
        CHECK(world.submit(SimulatedPlatform::makeJob("j" + std::to_string(n), 1, 3)));
    }
    world.run(4s);
    for (int n = 0; n < 6; ++n) {
        CHECK(world.describe("j" + std::to_string(n)).find("w1") == std::string::npos);
    }
    checkNoViolations(world);
}

TEST(Rules, EvictionsRespectMaxUnavailable)
{
    submitLongRunningJob();
    for (int round = 0; round < 20; ++round) {
        evacuate({"w1", "w10", "w11", "w12", "w13", "w14"});
        world.run(200ms);
    }
    LONGS_EQUAL(24, world.runsOf("a"));
    checkNoViolations(world);
}

// Regression test (AVAIL on plaquewright-prod-grown trouble-1): tasks were evicted from healthy workers up to
// the limit and from draining workers in addition. Where the healthy workers were slower to react, their
// evictions exceeded the limit.
TEST(Rules, EvictionsBesideDrainingWorkersRespectMaxUnavailable)
{
    submitLongRunningJob();
    for (const char *it : {"w1", "w10", "w11"}) {
        world.workers[it].delay = 15ms;
    }
    for (const char *it : {"w17", "w18", "w19"}) {
        world.workers[it].info.isDraining = true;
        world.workers[it].info.drainTimeLeft = 2500ms;
    }
    evacuate({"w1", "w10", "w11"});
    world.run(5ms);
    world.publishWorkers();
    for (int round = 0; round < 20; ++round) {
        evacuate({"w1", "w10", "w11"});
        world.run(200ms);
        for (const char *it : {"w17", "w18", "w19"}) {
            CHECK(round < 11 || world.runsOn(it) == 0);
        }
    }
    LONGS_EQUAL(24, world.runsOf("a"));
    checkNoViolations(world);
}

TEST_GROUP(Pace)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        world.taskTime = 600s;
        world.addWorker("w1");
        world.addMember("m1");
        auto longRunningJob = SimulatedPlatform::makeJob("a", 1, 1);
        longRunningJob.stages[0].isLongRunning = true;
        longRunningJob.stages[0].tailTarget = 100ms;
        CHECK(world.submit(longRunningJob));
        auto bestEffortJob = SimulatedPlatform::makeJob("b", 1, 1);
        bestEffortJob.stages[0].isBestEffort = true;
        CHECK(world.submit(bestEffortJob));
        world.run(2s);
        world.tails[servingTask] = 120;
        world.run(4s);
        CHECK(world.pacePercents[bestEffortTask] <= 5);
    }

    const Jobs::TaskId servingTask{"a", 0, 0, 0};
    const Jobs::TaskId bestEffortTask{"b", 0, 0, 0};
    SimulatedPlatform world;
};

// Regression test: the next owner assumed that the best-effort task was at full pace and never sent it that
// pace.
TEST(Pace, BestEffortTaskRegainsPaceUnderNextOwner)
{
    world.tails[servingTask] = 30;
    replaceOwner(world, "m2");
    world.run(25s);
    LONGS_EQUAL(100, world.pacePercents[bestEffortTask]);
    checkNoViolations(world);
}

// Regression test: a pace order counted as carried out even without an answer.
TEST(Pace, UnansweredPaceOrderIsRepeated)
{
    world.tails[servingTask] = 30;
    world.run(12s);
    LONGS_EQUAL(100, world.pacePercents[bestEffortTask]);
    world.losesPaceOrders = true;
    world.tails[servingTask] = 120;
    world.run(6s);
    world.losesPaceOrders = false;
    world.run(3s);
    CHECK(world.pacePercents[bestEffortTask] <= 5);
    checkNoViolations(world);
}
