#include "simulatedplatform.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace std::chrono_literals;
using CrashKind = SimulatedPlatform::CrashKind;

// Workers restart under their IDs and take orders that were sent to their earlier incarnations.

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds LongTask{60'000};
constexpr std::uint32_t Seeds = 20;

struct Fleet {
    explicit Fleet(std::uint32_t seed = 1)
        : world(seed)
    {
        world.ordersOutliveRestarts = true;
        world.taskTime = LongTask;
        world.addWorker("w1");
        world.addWorker("w2").unreachableFrom = {"m1", "m2"};
        // The first one owns the shard. The list of workers is not published again, so no member gets to know
        // of a restart by it.
        world.addMember("m1");
        world.addMember("m2");
        world.run(2s);
        CHECK(world.members["m1"]->host.owns(0));
    }

    SimulatedPlatform::Worker &w1()
    {
        return world.workers["w1"];
    }

    /// Restarts w1 and starts a task there, before any list of the restarted worker.
    void startAfterUnnoticedRestart(const std::string &job)
    {
        world.crash("w1", 0ms, CrashKind::Silent);
        submit(job);
        world.run(10ms);
        LONGS_EQUAL(1, world.runsOn("w1"));
    }

    void submit(const std::string &job)
    {
        Jobs::JobSpec spec = SimulatedPlatform::makeJob(job, 1, 1);
        spec.stages[0].estimate = estimate;
        CHECK(world.submit(spec));
    }

    /// Returns when the next owner has had a list of all workers.
    void killOwner()
    {
        world.kill("m1");
        while (!world.members["m2"]->host.owns(0)) {
            world.run(10ms);
        }
        world.run(100ms);
    }

    void cutOffFirstWorker()
    {
        w1().unreachableFrom = {"m1", "m2", "m3"};
        world.workers["w2"].unreachableFrom.clear();
    }

    /// Waits for as long as an order can be on its way, and its lease after that.
    void checkThatTasksRunOnSecondWorker(std::size_t tasks)
    {
        world.run(world.settings.shard.maxOrderDelay + world.settings.shard.leaseLimit + 5s);
        checkViolations();
        LONGS_EQUAL(tasks, world.runsOn("w2"));
    }

    void checkThatTaskRunsOnSecondWorker()
    {
        checkThatTasksRunOnSecondWorker(1);
    }

    void checkViolations()
    {
        for (const std::string &it : world.violations) {
            FAIL(it.c_str());
        }
    }

    SimulatedPlatform world;
    Milliseconds estimate{700}; ///< of the tasks of later jobs
};

} // namespace

TEST_GROUP(WorkerRestarts){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(WorkerRestarts, ARunStartedAfterAnUnnoticedRestartIsNotGivenUpWithinItsLease)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.cutOffFirstWorker();
    fleet.checkThatTaskRunsOnSecondWorker();
}

TEST(WorkerRestarts, ANextOwnerDoesNotGiveUpARunStartedAfterAnUnnoticedRestart)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.world.kill("m1");
    fleet.cutOffFirstWorker();
    fleet.checkThatTaskRunsOnSecondWorker();
}

TEST(WorkerRestarts, AnOwnerThatIsHandedTheShardDoesNotGiveUpARunStartedAfterAnUnnoticedRestart)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.world.members["m1"]->host.stop([] {});
    fleet.cutOffFirstWorker();
    fleet.world.run(1s);
    CHECK(fleet.world.members["m2"]->host.owns(0));
    fleet.checkThatTaskRunsOnSecondWorker();
}

TEST(WorkerRestarts, ANextOwnerCountsTheLeaseThatAWorkerWasGivenBeforeItsRestartWasNoticed)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.killOwner();
    fleet.cutOffFirstWorker();
    fleet.checkThatTaskRunsOnSecondWorker();
}

TEST(WorkerRestarts, ANextOwnerCountsThatLeaseForRunsThatItStartsItself)
{
    Fleet fleet;
    fleet.world.taskTime = 100ms;
    fleet.startAfterUnnoticedRestart("a");
    fleet.killOwner();
    fleet.world.taskTime = LongTask;
    fleet.submit("b");
    fleet.world.run(100ms);
    fleet.cutOffFirstWorker();
    fleet.checkThatTaskRunsOnSecondWorker();
}

TEST(WorkerRestarts, AStartThatTheNextIncarnationTakesLateIsNotGivenUpBefore)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        Fleet fleet(seed);
        fleet.w1().delayedShare = 1;
        fleet.submit("a");
        fleet.world.crash("w1", 0ms, CrashKind::Silent);
        fleet.cutOffFirstWorker();
        fleet.w1().delayedShare = 0;
        fleet.checkThatTaskRunsOnSecondWorker();
    }
}

// The first owner leaves a record of the lease since the earlier restart, which has mostly passed by then.
TEST(WorkerRestarts, ANextOwnerDoesNotCountTheRecordedLeaseOfAnEarlierRestart)
{
    for (Milliseconds time = 4s; time <= 9s; time += 250ms) {
        Fleet fleet;
        fleet.estimate = LongTask;
        fleet.world.addMember("m3");
        fleet.world.workers["w2"].unreachableFrom.insert("m3");
        fleet.startAfterUnnoticedRestart("a");
        fleet.world.run(time);
        fleet.world.members["m1"]->host.stop([] {});
        fleet.world.run(1s);
        CHECK(fleet.world.members["m2"]->host.owns(0));
        fleet.startAfterUnnoticedRestart("b");
        fleet.world.run(1500ms);
        fleet.world.kill("m2");
        fleet.cutOffFirstWorker();
        fleet.checkThatTasksRunOnSecondWorker(2);
    }
}
