#include "simulatedplatform.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using JobService::ReportedState;

// The capacity of workers changes while they run. Those of these tests do not refuse starts that exceed it.

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds Lag{500}; // until members learn of a change
constexpr std::int64_t FullMilliCores = 8000;

Jobs::Resources cores(std::int64_t milliCores)
{
    return {milliCores, 64'000, 0};
}

void addFleet(SimulatedPlatform &world, int workers)
{
    for (int n = 0; n < workers; ++n) {
        world.addWorker("w" + std::to_string(n), FullMilliCores).enforcesCapacity = false;
    }
    world.addMember("m1");
    world.addMember("m2");
    world.run(2s);
}

void resizeAll(SimulatedPlatform &world, std::int64_t milliCores)
{
    std::vector<std::string> ids;
    for (const auto &[id, worker] : world.workers) {
        ids.push_back(id);
    }
    for (const std::string &it : ids) {
        world.resize(it, cores(milliCores), Lag);
    }
}

void runAndPublish(SimulatedPlatform &world, int seconds)
{
    for (int n = 0; n < seconds; ++n) {
        world.run(1s);
        world.publishWorkers();
    }
}

void checkNoViolations(const SimulatedPlatform &world, const std::string &context = {})
{
    for (const std::string &it : world.violations) {
        FAIL((context + it).c_str());
    }
}

void checkCompleted(SimulatedPlatform &world, const std::vector<std::string> &jobs)
{
    for (const std::string &it : jobs) {
        CHECK_TEXT(world.state(it) == ReportedState::Completed, it.c_str());
    }
}

std::vector<std::string> submitJobs(SimulatedPlatform &world, int count, std::uint32_t stages)
{
    std::vector<std::string> jobs;
    for (int n = 0; n < count; ++n) {
        jobs.push_back("j" + std::to_string(world.submitted.size()));
        CHECK(world.submit(SimulatedPlatform::makeJob(jobs.back(), stages, 4)));
    }
    return jobs;
}

std::int64_t demandOf(SimulatedPlatform &world)
{
    std::int64_t milliCores = 0;
    world.owner(0)->host.handle({.shard = 0, .operation = JobService::Operation::Demand},
                                [&milliCores](const JobService::JobReply &it) {
                                    for (const Jobs::ServiceDemand &demand : it.demand) {
                                        milliCores += demand.milliCores + demand.lateMilliCores;
                                    }
                                });
    world.run(100ms);
    return milliCores;
}

} // namespace

TEST_GROUP(Capacities){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(Capacities, RunsStayOnAWorkerThatHasShrunk)
{
    SimulatedPlatform world;
    addFleet(world, 2);
    world.taskTime = 10s;
    const auto jobs = submitJobs(world, 4, 1);
    world.run(1s);
    const auto before = world.startedRuns;
    resizeAll(world, 2000);
    runAndPublish(world, 20);
    checkNoViolations(world);
    checkCompleted(world, jobs);
    CHECK(world.startedRuns == before);
}

TEST(Capacities, AnAssignmentStoredLateIsNotStartedOverTheCapacity)
{
    SimulatedPlatform world;
    addFleet(world, 2);
    const auto jobs = submitJobs(world, 4, 2);
    world.run(300ms);
    // The second stages are assigned while the store is slow.
    for (auto &[name, member] : world.members) {
        member->platform.appendDelay = 7s;
    }
    world.run(1s);
    resizeAll(world, 1000);
    world.run(6s);
    for (auto &[name, member] : world.members) {
        member->platform.appendDelay = {};
    }
    runAndPublish(world, 10);
    checkNoViolations(world);
    resizeAll(world, FullMilliCores);
    runAndPublish(world, 20);
    checkNoViolations(world);
    checkCompleted(world, jobs);
}

TEST(Capacities, AJobIsAcceptedWhileWorkersHaveShrunk)
{
    SimulatedPlatform world;
    addFleet(world, 2);
    resizeAll(world, 500);
    world.run(2s);
    const auto jobs = submitJobs(world, 2, 2);
    runAndPublish(world, 10);
    CHECK(world.startedRuns.empty());
    resizeAll(world, FullMilliCores);
    runAndPublish(world, 10);
    checkNoViolations(world);
    checkCompleted(world, jobs);
}

TEST(Capacities, AJobThatHasFitNoWorkerIsRefused)
{
    SimulatedPlatform world;
    addFleet(world, 2);
    resizeAll(world, 500);
    world.run(2s);
    Jobs::JobSpec job = SimulatedPlatform::makeJob("large", 1, 1);
    job.stages[0].size.milliCores = FullMilliCores + 1;
    CHECK(!world.submit(job, 2s));
}

TEST(Capacities, NothingStartsOnAWorkerWithoutCapacity)
{
    SimulatedPlatform world;
    addFleet(world, 3);
    world.resize("w0", {}, Lag);
    world.run(7s);
    const auto jobs = submitJobs(world, 6, 2);
    for (int n = 0; n < 10; ++n) {
        LONGS_EQUAL(0, world.runsOn("w0"));
        runAndPublish(world, 1);
    }
    checkNoViolations(world);
    checkCompleted(world, jobs);
}

TEST(Capacities, AWorkerMayGrowBeyondWhatItBeganWith)
{
    SimulatedPlatform world;
    addFleet(world, 1);
    Jobs::JobSpec job = SimulatedPlatform::makeJob("large", 1, 1);
    job.stages[0].size.milliCores = 2 * FullMilliCores;
    CHECK(!world.submit(job, 1s));
    world.resize("w0", cores(2 * FullMilliCores), Lag);
    world.run(1s);
    CHECK(world.submit(job));
    runAndPublish(world, 5);
    checkNoViolations(world);
    CHECK(world.state("large") == ReportedState::Completed);
}

TEST(Capacities, WorkersThatChangeEachSecondAreNotOverloaded)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        SimulatedPlatform world(seed);
        addFleet(world, 6);
        std::mt19937 random(seed);
        const auto pick = [&random](int n) {
            return std::uniform_int_distribution<>(0, n - 1)(random);
        };
        std::vector<std::string> jobs;
        int lastMember = 2;
        for (int n = 0; n < 40; ++n) {
            for (int k = 0; k < 2; ++k) {
                const std::string id = "j" + std::to_string(world.submitted.size());
                if (world.submit(SimulatedPlatform::makeJob(id, 2, 4), 1s)) {
                    jobs.push_back(id);
                }
            }
            for (int k = 0; k < 3; ++k) {
                world.resize("w" + std::to_string(pick(6)),
                             cores(FullMilliCores * pick(4) / 2),
                             Milliseconds(pick(1500)));
            }
            for (auto &[name, member] : world.members) {
                member->platform.appendDelay = pick(4) == 0 ? Milliseconds(pick(7000)) : Milliseconds{};
            }
            if (pick(10) == 0) {
                world.kill(world.members.begin()->first);
                world.addMember("m" + std::to_string(++lastMember));
            }
            runAndPublish(world, 1);
        }
        for (auto &[name, member] : world.members) {
            member->platform.appendDelay = {};
        }
        resizeAll(world, FullMilliCores);
        runAndPublish(world, 60);
        checkNoViolations(world, "seed " + std::to_string(seed) + ": ");
        checkCompleted(world, jobs);
    }
}

TEST(Capacities, APoolOfShrunkWorkersAsksForMore)
{
    SimulatedPlatform world;
    addFleet(world, 4);
    world.taskTime = 30s;
    submitJobs(world, 4, 1);
    world.run(1s);
    const auto before = demandOf(world);
    CHECK(before > 0);
    resizeAll(world, FullMilliCores / 2);
    world.run(1s);
    LONGS_EQUAL(2 * before, demandOf(world));
    resizeAll(world, FullMilliCores);
    world.run(1s);
    LONGS_EQUAL(before, demandOf(world));
}
