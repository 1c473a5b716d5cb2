#include "restartedfleet.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using CrashKind = SimulatedPlatform::CrashKind;

// Workers restart under their IDs and take orders that were sent to their earlier incarnations.

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

TEST(WorkerRestarts, AStartWithoutAnAnswerDoesNotRunInTheNextIncarnationBesideARunElsewhere)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        Fleet fleet(seed);
        fleet.submit("b"); // the other worker has more room
        fleet.w1().delayedShare = 1;
        fleet.submit("a");
        fleet.w1().delayedShare = 0;
        fleet.world.workers["w2"].unreachableFrom.clear();
        fleet.world.run(4s); // the start is given up before some of them are carried out
        fleet.world.crash("w1", 0ms, CrashKind::Silent);
        fleet.cutOffFirstWorker();
        fleet.world.run(fleet.world.settings.shard.maxOrderDelay + fleet.world.settings.shard.leaseLimit
                        + 5s);
        fleet.checkViolations();
        LONGS_EQUAL(2, fleet.world.runsOn("w2"));
    }
}

TEST(WorkerRestarts, WhileOrdersAreLateAStartIsNotGivenUpBeforeTheNextIncarnationCanTakeIt)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        Fleet fleet(seed);
        fleet.w1().delayedShare = 1;
        fleet.submit("b");
        fleet.w1().delayedShare = 0;
        fleet.world.run(4s); // the start has been sent again
        fleet.w1().delayedShare = 1;
        fleet.submit("a");
        fleet.world.crash("w1", 0ms, CrashKind::Silent);
        fleet.cutOffFirstWorker();
        fleet.w1().delayedShare = 0;
        fleet.world.run(fleet.world.settings.shard.maxOrderDelay + fleet.world.settings.shard.leaseLimit
                        + 5s);
        fleet.checkViolations();
        LONGS_EQUAL(2, fleet.world.runsOn("w2"));
    }
}

TEST(WorkerRestarts, AnEarlierCursorDoesNotRemoveEndsOfTheNextIncarnation)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        Fleet fleet(seed);
        fleet.world.taskTime = 50ms;
        fleet.submit("a");
        fleet.world.run(2s); // its end has been removed
        fleet.w1().delayedShare = 1;
        fleet.world.run(2s); // a query is on its way
        fleet.world.crash("w1", 0ms, CrashKind::Silent);
        fleet.w1().delayedShare = 0;
        fleet.submit("b");
        fleet.w1().unreachableFrom = {"m1", "m2"};
        fleet.world.run(fleet.world.settings.shard.maxOrderDelay);
        fleet.w1().unreachableFrom.clear();
        fleet.world.run(10s);
        fleet.checkViolations();
        CHECK(fleet.world.state("b") == JobService::ReportedState::Completed);
    }
}

TEST(WorkerRestarts, AStartOfTheOwnerBeforeDoesNotRunInTheNextIncarnationBesideARunElsewhere)
{
    for (std::uint32_t seed = 1; seed <= 2 * Seeds; ++seed) {
        Fleet fleet(seed);
        fleet.world.workers["w2"].info.capacity.milliCores = 4000; // fits more tightly
        fleet.world.workers["w2"].unreachableFrom = {"m1"};
        fleet.world.publishWorkers();
        fleet.w1().delayedShare = 1;
        fleet.submit("a");
        fleet.w1().delayedShare = 0;
        fleet.world.members["m1"]->host.stop([] {});
        fleet.world.run(3s);
        CHECK(fleet.world.members["m2"]->host.owns(0));
        fleet.world.crash("w1", 0ms, CrashKind::Silent);
        fleet.world.run(fleet.world.settings.shard.maxOrderDelay + fleet.world.settings.shard.leaseLimit
                        + 5s);
        fleet.checkViolations();
        LONGS_EQUAL(1, fleet.world.runsOf("a"));
    }
}

TEST(WorkerRestarts, AnAnswerOfAnUnknownIncarnationIsFollowedByAQueryAtOnce)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.world.run(50ms);
    std::int64_t startTime = 0;
    fleet.world.members["m1"]->host.forEachServingShard(
        [&startTime](JobService::ShardNumber, const Jobs::Shard &shard) {
            startTime = shard.workers().at("w1").startTime;
        });
    LONGS_EQUAL(fleet.w1().info.startTime, startTime);
}

// The first owner leaves a record of the lease since the earlier restart, which has mostly passed by then.
TEST(WorkerRestarts, ANextOwnerDoesNotCountTheRecordedLeaseOfAnEarlierRestart)
{
    for (SimulatedPlatform::Milliseconds time = 4s; time <= 9s; time += 250ms) {
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
