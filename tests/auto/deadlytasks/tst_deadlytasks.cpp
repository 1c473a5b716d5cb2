#include "simulatedplatform.h"

#include <base/logline.h>
#include <jobs/lostruns.h>
#include <jobs/placement.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace std::chrono_literals;
using JobService::ReportedState;

// Deadly tasks crash each worker that starts them. They are given up, and those beside them are not.

namespace
{

using Milliseconds = std::chrono::milliseconds;

void addFleet(SimulatedPlatform &world, int workers)
{
    for (int n = 0; n < workers; ++n) {
        world.addWorker("w" + std::to_string(n));
    }
    world.addMember("m1");
    world.addMember("m2");
    world.run(2s);
}

/// Submits a job of one stage whose first task is deadly.
void submitDeadlyJob(SimulatedPlatform &world, const std::string &id, std::uint32_t width)
{
    world.deadlyTasks.insert({id, 0, 0, 0});
    CHECK(world.submit(SimulatedPlatform::makeJob(id, 1, width)));
}

void checkNoViolations(const SimulatedPlatform &world, const std::string &context = {})
{
    for (const std::string &it : world.violations) {
        FAIL((context + it).c_str());
    }
}

void runAndPublish(SimulatedPlatform &world, int seconds)
{
    for (int n = 0; n < seconds; ++n) {
        world.run(1s);
        world.publishWorkers();
    }
}

/// The first worker with this number of runs; empty if there is none.
std::string workerOf(const SimulatedPlatform &world, std::size_t runs)
{
    for (const auto &[id, worker] : world.workers) {
        if (worker.isUp && world.runsOn(id) == runs) {
            return id;
        }
    }
    return {};
}

/// Crashes each half of the workers twice in turn, under jobs whose tasks last and that use all workers.
void crashHalvesInTurn(SimulatedPlatform &world, int workers, bool isGang)
{
    constexpr int Jobs = 3;
    world.taskTime = 24h;
    for (int n = 0; n < Jobs; ++n) {
        Jobs::JobSpec job =
            SimulatedPlatform::makeJob("lasting" + std::to_string(n), 1, static_cast<std::uint32_t>(workers));
        job.stages[0].isLongRunning = !isGang;
        job.stages[0].isGang = isGang;
        job.stages[0].tasksPerWorker = 1;
        CHECK(world.submit(job));
    }
    runAndPublish(world, 3);
    for (int crash = 0; crash < 4; ++crash) {
        for (int n = 0; n < workers / 2; ++n) {
            world.crash("w" + std::to_string(crash % 2 * (workers / 2) + n), 3s);
        }
        runAndPublish(world, 4);
    }
}

/// Submits small jobs and checks that each of them starts soon enough.
void checkSmallJobsStart(SimulatedPlatform &world, const std::string &context)
{
    constexpr Milliseconds MaxWait = 3s; // what callers may see a job without a run
    std::vector<std::string> small;
    for (int n = 0; n < 10; ++n) {
        small.push_back("small" + std::to_string(n));
        CHECK(world.submit(SimulatedPlatform::makeJob(small.back(), 1, 2)));
        world.run(100ms);
    }
    world.run(MaxWait);
    for (const std::string &it : small) {
        const Jobs::TaskId task{it, 0, 0, 0};
        CHECK_TRUE_TEXT(world.startedRuns[task] > 0, (context + it).c_str());
    }
    checkNoViolations(world, context);
}

void checkGivenUp(bool replacesCrashedWorkers)
{
    SimulatedPlatform world;
    world.replacesCrashedWorkers = replacesCrashedWorkers;
    addFleet(world, 6);
    submitDeadlyJob(world, "deadly", 4);
    std::vector<std::string> innocent;
    for (int n = 0; n < 20; ++n) {
        innocent.push_back("j" + std::to_string(n));
        CHECK(world.submit(SimulatedPlatform::makeJob(innocent.back(), 2, 4)));
        world.run(300ms);
    }
    runAndPublish(world, 60);
    checkNoViolations(world);
    CHECK(world.state("deadly") == ReportedState::Failed);
    for (const std::string &it : innocent) {
        CHECK(world.state(it) == ReportedState::Completed);
    }
}

} // namespace

TEST_GROUP(DeadlyTasks){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(DeadlyTasks, AreGivenUpWhereWorkersRestart)
{
    checkGivenUp(false);
}

TEST(DeadlyTasks, AreGivenUpWhereWorkersAreReplaced)
{
    checkGivenUp(true);
}

TEST(DeadlyTasks, AreGivenUpAlthoughTheirOwnersEnd)
{
    SimulatedPlatform world;
    addFleet(world, 6);
    submitDeadlyJob(world, "deadly", 1);
    int lastMember = 2;
    for (int n = 0; n < 60; ++n) {
        const int crashes = world.crashesUnder[{"deadly", 0, 0, 0}];
        world.run(1s);
        world.publishWorkers();
        if (world.crashesUnder[{"deadly", 0, 0, 0}] > crashes) {
            world.kill(world.owner(0)->name);
            world.addMember("m" + std::to_string(++lastMember));
        }
    }
    checkNoViolations(world);
    CHECK(world.state("deadly") == ReportedState::Failed);
}

TEST(DeadlyTasks, OfLongRunningJobsAreGivenUp)
{
    SimulatedPlatform world;
    addFleet(world, 6);
    Jobs::JobSpec job = SimulatedPlatform::makeJob("deadly", 1, 3);
    job.stages[0].isLongRunning = true;
    world.deadlyTasks.insert({"deadly", 0, 0, 0});
    world.taskTime = 24h;
    CHECK(world.submit(job));
    runAndPublish(world, 60);
    checkNoViolations(world);
    CHECK(world.state("deadly") == ReportedState::Failed);
}

TEST(DeadlyTasks, OfGangsAreGivenUp)
{
    SimulatedPlatform world;
    addFleet(world, 8);
    Jobs::JobSpec job = SimulatedPlatform::makeJob("deadly", 1, 4);
    job.stages[0].isGang = true;
    job.stages[0].tasksPerWorker = 1;
    world.deadlyTasks.insert({"deadly", 0, 0, 2});
    CHECK(world.submit(job));
    runAndPublish(world, 40);
    checkNoViolations(world);
    CHECK(world.state("deadly") == ReportedState::Failed);
}

TEST(DeadlyTasks, AreNotSeenInGangsThatLoseWorkersUnderDifferentTasks)
{
    SimulatedPlatform world;
    addFleet(world, 8);
    world.taskTime = 3s;
    Jobs::JobSpec job = SimulatedPlatform::makeJob("gang", 1, 4);
    job.stages[0].isGang = true;
    job.stages[0].tasksPerWorker = 1;
    CHECK(world.submit(job));
    for (std::uint32_t n = 0; n < 4; ++n) {
        const Jobs::TaskId task{"gang", 0, 0, n};
        for (const auto &[id, worker] : world.workers) {
            world.crashUnder(task, n + 1, id);
        }
        LONGS_EQUAL(1, world.crashesUnder[task]);
        const int starts = world.startedRuns[task];
        for (int wait = 0; wait < 20 && world.startedRuns[task] == starts; ++wait) {
            runAndPublish(world, 1);
        }
    }
    runAndPublish(world, 10);
    checkNoViolations(world);
    CHECK(world.state("gang") == ReportedState::Completed);
}

// Workers that fall silent may have crashed under the task or not; it must neither wait to learn it nor be
// given up.
TEST(DeadlyTasks, AreNotSeenInTasksWhoseWorkersFallSilent)
{
    SimulatedPlatform world;
    addFleet(world, 8);
    world.taskTime = 2s;
    CHECK(world.submit(SimulatedPlatform::makeJob("innocent", 1, 1)));
    const Jobs::TaskId task{"innocent", 0, 0, 0};
    for (int losses = 0; losses < 3; ++losses) {
        const std::string id = workerOf(world, 1);
        CHECK(!id.empty());
        world.crash(id, 24h, SimulatedPlatform::CrashKind::Silent);
        const int starts = world.startedRuns[task];
        runAndPublish(world, 5); // the lease, and less than what callers may see a job without a run
        LONGS_EQUAL(starts + 1, world.startedRuns[task]);
    }
    runAndPublish(world, 5);
    checkNoViolations(world);
    CHECK(world.state("innocent") == ReportedState::Completed);
}

TEST(DeadlyTasks, DoNotWaitLongForAWorkerToThemselves)
{
    SimulatedPlatform world;
    addFleet(world, 6);
    world.taskTime = 60s;
    CHECK(world.submit(SimulatedPlatform::makeJob("suspect", 1, 1)));
    Jobs::JobSpec other = SimulatedPlatform::makeJob("other", 1, 6);
    other.stages[0].tasksPerWorker = 1;
    CHECK(world.submit(other));
    const Jobs::TaskId task{"suspect", 0, 0, 0};
    for (int losses = 0; losses < 2; ++losses) {
        const std::string id = workerOf(world, 2);
        CHECK(!id.empty());
        world.crash(id, 24h);
        const int starts = world.startedRuns[task];
        runAndPublish(world, 6);
        LONGS_EQUAL(starts + 1, world.startedRuns[task]);
    }
    checkNoViolations(world);
}

TEST(DeadlyTasks, DoNotWaitForeverWhereEachWorkerHasASuspect)
{
    constexpr int Workers = 4;
    SimulatedPlatform world;
    addFleet(world, Workers);
    world.taskTime = 60s;
    Jobs::JobSpec other = SimulatedPlatform::makeJob("other", 1, Workers);
    other.stages[0].tasksPerWorker = 1;
    CHECK(world.submit(other));
    runAndPublish(world, 1);
    for (int n = 0; n < Workers; ++n) {
        world.crash("w" + std::to_string(n), 200ms);
        runAndPublish(world, 6);
    }
    CHECK(world.submit(SimulatedPlatform::makeJob("suspect", 1, 1)));
    runAndPublish(world, 1);
    const std::string id = workerOf(world, 2);
    CHECK(!id.empty());
    world.crash(id, 200ms);
    runAndPublish(world, 6);
    CHECK_EQUAL(1, world.runsOf("suspect"));
    CHECK_EQUAL(Workers, world.runsOf("other"));
    checkNoViolations(world);
}

// Tasks that had lost two workers each kept one for themselves, until other jobs had none.
TEST(DeadlyTasks, DoNotKeepOtherJobsFromAllWorkers)
{
    for (const bool isGang : {false, true}) {
        SimulatedPlatform world;
        addFleet(world, 8);
        crashHalvesInTurn(world, 8, isGang);
        checkSmallJobsStart(world, isGang ? "gangs: " : "long-running: ");
    }
}

// The next owner withheld a worker for each such task anew.
TEST(DeadlyTasks, DoNotKeepOtherJobsFromAllWorkersAfterATakeover)
{
    SimulatedPlatform world;
    addFleet(world, 8);
    crashHalvesInTurn(world, 8, false);
    world.kill(world.owner(0)->name);
    world.addMember("m3");
    runAndPublish(world, 6);
    checkSmallJobsStart(world, {});
}

// Starts that would meet a worker which has gone unnoticed count against the task.
TEST(DeadlyTasks, GetWorkersThatHaveAnsweredLately)
{
    const Base::Instant now = Base::Instant{} + 1h;
    Jobs::Worker lively;
    Jobs::Worker quiet;
    for (Jobs::Worker *it : {&lively, &quiet}) {
        it->info.capacity = {8000, 64'000, 0};
        it->isListed = true;
        it->hasAnswered = true;
        it->lastAnswer = now - 1900ms;
    }
    quiet.info.capacity.milliCores = 4000; // a smaller one would be chosen
    quiet.lastAnswer = now - 2100ms;
    const std::vector<Jobs::Candidate> candidates{{&quiet, 0}, {&lively, 0}};
    const Jobs::Stage stage = SimulatedPlatform::makeJob("a", 1, 1).stages[0];
    POINTERS_EQUAL(&lively, Jobs::chooseEmptyWorker(stage, candidates, now));
    lively.used.milliCores = 6000; // an emptier one would be chosen
    POINTERS_EQUAL(&lively, Jobs::chooseWorkerApart(stage, candidates, now));
}

// A tenth of the jobs are deadly for a while, so most other tasks lose a worker to one of them.
TEST(DeadlyTasks, DoNotTakeOtherJobsWithThem)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        SimulatedPlatform world(seed);
        world.replacesCrashedWorkers = seed % 2 == 0;
        addFleet(world, 12);
        world.members.at("m2")->platform.isEarlierBuild = seed % 3 == 0;
        std::mt19937 random(seed);
        std::vector<std::string> innocent;
        for (int n = 0; n < 80; ++n) {
            const std::string id = "j" + std::to_string(n);
            if (std::uniform_int_distribution<>(0, 9)(random) == 0) {
                submitDeadlyJob(world, id, 3);
            } else if (world.submit(SimulatedPlatform::makeJob(id, 2, 4))) {
                innocent.push_back(id);
            }
            world.run(150ms);
        }
        runAndPublish(world, 90);
        const std::string context = "seed " + std::to_string(seed) + ": ";
        checkNoViolations(world, context);
        for (const std::string &it : innocent) {
            CHECK_TRUE_TEXT(world.state(it) == ReportedState::Completed,
                            (context + it + world.describe(it)).c_str());
        }
        for (const Jobs::TaskId &it : world.deadlyTasks) {
            CHECK_TRUE_TEXT(world.state(it.job) == ReportedState::Failed, (context + it.job).c_str());
        }
    }
}

// Workers that can't be reached for a while have not crashed.
TEST(DeadlyTasks, AreNotThoseThatLoseUnreachableWorkers)
{
    SimulatedPlatform world;
    addFleet(world, 4);
    Jobs::JobSpec job = SimulatedPlatform::makeJob("j", 1, 2);
    world.taskTime = 4s;
    CHECK(world.submit(job));
    for (int n = 0; n < 6; ++n) {
        world.run(500ms);
        for (auto &[id, worker] : world.workers) {
            if (world.runsOn(id) > 0) {
                worker.unreachableFrom = {"m1", "m2"};
            }
        }
        runAndPublish(world, 5);
        for (auto &[id, worker] : world.workers) {
            worker.unreachableFrom.clear();
        }
        CHECK(world.state("j") != ReportedState::Failed);
    }
    runAndPublish(world, 20);
    checkNoViolations(world);
    CHECK(world.state("j") == ReportedState::Completed);
}

// Long-running tasks outlive many workers over time.
TEST(DeadlyTasks, AreNotLongRunningOnesThatLoseWorkersNowAndThen)
{
    SimulatedPlatform world;
    addFleet(world, 6);
    Jobs::JobSpec job = SimulatedPlatform::makeJob("j", 1, 3);
    job.stages[0].isLongRunning = true;
    world.taskTime = 24h;
    CHECK(world.submit(job));
    for (int n = 0; n < 8; ++n) {
        runAndPublish(world, 20);
        for (auto &[id, worker] : world.workers) {
            if (world.runsOn(id) > 0) {
                world.crash(id, 2s);
            }
        }
        runAndPublish(world, 10);
        CHECK_EQUAL(3, world.runsOf("j"));
    }
    checkNoViolations(world);
    CHECK(world.state("j") == ReportedState::Running);
}

// Giving one up stops the others of its job, which serve. Crashes beside it had ended sound jobs.
TEST(DeadlyTasks, AreNotLongRunningOnesThatLoseThreeWorkersSoonAndOneLate)
{
    SimulatedPlatform world;
    addFleet(world, 6);
    Jobs::JobSpec job = SimulatedPlatform::makeJob("j", 1, 3);
    job.stages[0].isLongRunning = true;
    world.taskTime = 24h;
    CHECK(world.submit(job));
    for (const int seconds : {12, 2, 2, 2}) {
        runAndPublish(world, seconds);
        for (auto &[id, worker] : world.workers) {
            if (world.runsOn(id) > 0) {
                world.crash(id, 1s);
            }
        }
        runAndPublish(world, 6);
        CHECK_EQUAL(3, world.runsOf("j"));
    }
    checkNoViolations(world);
    CHECK(world.state("j") == ReportedState::Running);
}

// A worker that leaves as announced takes its runs with it, which is no crash.
TEST(DeadlyTasks, AreNotThoseOnWorkersThatDrain)
{
    SimulatedPlatform world;
    addFleet(world, 8);
    world.taskTime = 5s;
    CHECK(world.submit(SimulatedPlatform::makeJob("j", 1, 1)));
    for (int n = 0; n < 5; ++n) {
        world.run(500ms);
        for (auto &[id, worker] : world.workers) {
            if (world.runsOn(id) > 0) {
                worker.info.isDraining = true;
                worker.info.drainTimeLeft = 300ms;
                world.publishWorkers();
                world.run(200ms);
                world.crash(id, 24h);
            }
        }
        runAndPublish(world, 6);
        CHECK(world.state("j") != ReportedState::Failed);
    }
    checkNoViolations(world);
}

TEST(DeadlyTasks, SayWhyTheirJobsHaveFailed)
{
    SimulatedPlatform world;
    addFleet(world, 6);
    submitDeadlyJob(world, "deadly", 1);
    runAndPublish(world, 40);
    std::string reason;
    world.ask({world.homeShardOf("deadly"), JobService::Operation::State, std::nullopt, "deadly"},
              [&reason](const JobService::JobReply &reply) { reason = reply.failureReason; });
    STRCMP_EQUAL("workers crashed under a task", reason.c_str());
}

TEST(DeadlyTasks, LossesAreSettledByTheWorkerItsMachineOrTime)
{
    const Base::Instant now{1h};
    const Jobs::TaskId a{"a", 0, 0, 0};
    const Jobs::TaskId b{"b", 0, 0, 0};
    Jobs::LostRuns lost;
    lost.add("w1", "m1", 1000, a, now);
    lost.add("w2", "m2", 1000, b, now);
    LONGS_EQUAL(1, lost.openLosses(a));
    CHECK(lost.takeRefuted("w1", 2000).empty()); // it has restarted
    LONGS_EQUAL(0, lost.openLosses(a));
    lost.add("w1", "m1", 2000, a, now);
    CHECK(lost.takeRefuted("w1", 2000) == std::vector<Jobs::TaskId>{a});
    lost.settleMachine("m2", 1000); // the same life
    lost.settleMachine("", 9000);
    LONGS_EQUAL(1, lost.openLosses(b));
    lost.settleMachine("m2", 3000);
    LONGS_EQUAL(0, lost.openLosses(b));
    lost.add("w2", "", 3000, b, now);
    lost.expire(now + 15s);
    LONGS_EQUAL(1, lost.openLosses(b));
    lost.add("w3", "m3", 1000, b, now + 1s);
    LONGS_EQUAL(2, lost.openLosses(b));
    lost.takeRefuted("w3", 1000);
    lost.expire(now + 15'001ms);
    LONGS_EQUAL(0, lost.openLosses(b));
}
