#include "simulatedplatform.h"

#include <base/logline.h>
#include <jobs/queueorder.h>

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

using namespace std::chrono_literals;
using JobService::JobReply;
using JobService::Operation;
using JobService::ReportedState;

// A job counted as begun as soon as a start had been ordered, and for good, also if its worker had refused
// it: it was missing among the pending ones and shown as running (review/15).

namespace
{

constexpr int JobCount = 8;

std::uint64_t pending(SimulatedPlatform &world)
{
    const auto shown = std::make_shared<std::uint64_t>(0);
    world.ask({.shard = 0, .operation = Operation::Pending, .subject = "previews"},
              [shown](const JobReply &reply) { *shown = reply.pending; });
    return *shown;
}

void submitJobs(SimulatedPlatform &world)
{
    for (int n = 0; n < JobCount; ++n) {
        CHECK(world.submit(SimulatedPlatform::makeJob("j" + std::to_string(n), 1, 1)));
    }
}

void checkStates(SimulatedPlatform &world, ReportedState expected)
{
    for (int n = 0; n < JobCount; ++n) {
        CHECK(world.state("j" + std::to_string(n)) == expected);
    }
}

} // namespace

TEST_GROUP(JobStart)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        world.addWorker("w");
        world.addMember("m1");
        world.run(2s);
        world.taskTime = 20s;
    }

    SimulatedPlatform world;
    SimulatedPlatform::Worker &worker = world.workers["w"];
};

// MIXED (review/15)
TEST(JobStart, AJobWhoseStartsAreRefusedIsPending)
{
    worker.isUnhealthy = true;
    submitJobs(world);
    world.run(6s);
    CHECK_EQUAL(JobCount, pending(world));
    checkStates(world, ReportedState::Queued);
    worker.isUnhealthy = false;
    world.run(2s);
    CHECK_EQUAL(0, pending(world));
    checkStates(world, ReportedState::Running);
    CHECK(world.violations.empty());
}

TEST(JobStart, AJobWhoseStartsAreRefusedIsPendingUnderTheNextOwner)
{
    worker.isUnhealthy = true;
    submitJobs(world);
    world.run(3s);
    world.kill("m1");
    world.addMember("m2");
    world.run(6s);
    CHECK_EQUAL(JobCount, pending(world));
    checkStates(world, ReportedState::Queued);
    worker.isUnhealthy = false;
    world.run(2s);
    CHECK_EQUAL(0, pending(world));
}

// Its worker may have started it, and that is known once it is listed.
TEST(JobStart, AJobWhoseStartGotNoAnswerIsPendingUntilItIsListed)
{
    worker.unheardBy = {"m1"};
    CHECK(world.submit(SimulatedPlatform::makeJob("j0", 1, 1)));
    world.run(300ms);
    LONGS_EQUAL(1, world.runsOf("j0"));
    CHECK_EQUAL(1, pending(world));
    worker.unheardBy.clear();
    world.run(4s);
    CHECK_EQUAL(0, pending(world));
    CHECK(world.state("j0") == ReportedState::Running);
    LONGS_EQUAL(1, (world.startedRuns[{"j0", 0, 0, 0}]));
}

TEST(JobStart, AJobWhoseFirstRunHasFailedIsNotPending)
{
    world.taskTime = 10ms;
    worker.failsAll = true;
    CHECK(world.submit(SimulatedPlatform::makeJob("j0", 1, 1)));
    world.run(100ms);
    CHECK_EQUAL(0, pending(world));
    worker.isUnhealthy = true;
    world.run(2s);
    CHECK_EQUAL(0, pending(world));
}

// Tasks that wait beside running ones of their job were started first, and so were those of refused jobs.
TEST(JobStart, ARefusedStartGivesNoPrecedence)
{
    worker.isUnhealthy = true;
    Jobs::JobSpec large = SimulatedPlatform::makeJob("large", 1, 8);
    large.stages[0].estimate = 20s;
    CHECK(world.submit(large));
    world.run(1s);
    CHECK(world.submit(SimulatedPlatform::makeJob("small", 1, 1)));
    worker.isUnhealthy = false;
    world.run(2s);
    CHECK_EQUAL(1, world.runsOf("small"));
    CHECK_EQUAL(7, world.runsOf("large"));
}
