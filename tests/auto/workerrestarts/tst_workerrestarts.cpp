#include "simulatedplatform.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>

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
        CHECK(world.submit(SimulatedPlatform::makeJob(job, 1, 1)));
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
        w1().unreachableFrom = {"m1", "m2"};
        world.workers["w2"].unreachableFrom.clear();
    }

    /// Waits for as long as an order can be on its way, and its lease after that.
    void checkThatTaskRunsOnSecondWorker()
    {
        world.run(world.settings.shard.maxOrderDelay + world.settings.shard.leaseLimit + 5s);
        checkViolations();
        LONGS_EQUAL(1, world.runsOn("w2"));
    }

    void checkViolations()
    {
        for (const std::string &it : world.violations) {
            FAIL(it.c_str());
        }
    }

    JobService::ShardHost<SimulatedPlatform::Platform> &host(const std::string &member = "m1")
    {
        return world.members[member]->host;
    }

    void checkRestarts(std::uint64_t byEntry, std::uint64_t byList, std::uint64_t byAnswer)
    {
        const Jobs::LossCounts losses = host().losses();
        LONGS_EQUAL(byEntry, losses.restarts(Jobs::RestartNotice::Entry));
        LONGS_EQUAL(byList, losses.restarts(Jobs::RestartNotice::RunList));
        LONGS_EQUAL(byAnswer, losses.restarts(Jobs::RestartNotice::Answer));
    }

    /// Checks that one run has been given up with its worker's lease.
    void checkLapsedRun(const std::string &member, Jobs::LeaseSource source, bool isConfirmed)
    {
        const Jobs::LossCounts losses = host(member).losses();
        for (const Jobs::LeaseSource it : Jobs::LossCounts::LeaseSources) {
            LONGS_EQUAL(it == source && isConfirmed ? 1 : 0, losses.lapsedRuns(it, true));
            LONGS_EQUAL(it == source && !isConfirmed ? 1 : 0, losses.lapsedRuns(it, false));
        }
    }

    /// The start of w1 as its owner has it from the latest list.
    std::int64_t knownStartOfFirstWorker()
    {
        std::int64_t start = 0;
        host().forEachServingShard([&start](JobService::ShardNumber, const Jobs::Shard &shard) {
            start = shard.workers().at("w1").startTime;
        });
        return start;
    }

    SimulatedPlatform world;
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

TEST(WorkerRestarts, ARestartThatAnAnswerShowsIsCountedOnce)
{
    Fleet fleet;
    fleet.checkRestarts(0, 0, 0);
    fleet.startAfterUnnoticedRestart("a");
    fleet.checkRestarts(0, 0, 1);
    CHECK(fleet.knownStartOfFirstWorker() != fleet.w1().info.startTime);
    fleet.submit("b");
    fleet.world.run(5s);
    LONGS_EQUAL(fleet.w1().info.startTime, fleet.knownStartOfFirstWorker());
    fleet.checkRestarts(0, 0, 1);
}

TEST(WorkerRestarts, FurtherAnswersOfTheSameIncarnationAreNotCounted)
{
    Base::Instant now{1h};
    Jobs::Shard shard({}, 1, "m");
    const Jobs::WallTime wall{1h};
    shard.begin(now, wall, [](const std::string &) { return true; });
    shard.setQuotaLimits({});
    Jobs::WorkerInfo info;
    info.id = "w";
    info.service = "sign";
    info.address = "10.0.0.1:1";
    info.capacity = {8000, 8000, 0};
    shard.setWorkers(std::span(&info, 1), now);
    Jobs::JobSpec spec = SimulatedPlatform::makeJob("a", 1, 3);
    spec.queue.service = info.service;
    shard.submit(spec, 1, now, wall);
    Jobs::RunList list;
    list.clock = 50'000;
    list.startTime = 1;
    std::size_t starts = 0;
    bool mayList = true;
    const Base::Instant end = now + 2s;
    for (; now < end; now += 10ms) {
        shard.processDue(now, wall);
        for (const Jobs::Command &it : shard.takeCommands()) {
            if (const auto *append = std::get_if<Jobs::AppendBatch>(&it)) {
                shard.appended(append->number, Jobs::AppendResult::Stored, now, wall);
            } else if (const auto *renew = std::get_if<Jobs::RenewLease>(&it); renew && mayList) {
                shard.renewAnswered(*renew, Jobs::OrderResult::Done, list, now, wall);
                list.clock += 10;
            } else if (const auto *start = std::get_if<Jobs::StartRun>(&it)) {
                mayList = false;
                ++starts;
                shard.startAnswered(*start, Jobs::OrderResult::Done, 100, now);
            }
        }
    }
    LONGS_EQUAL(3, starts);
    LONGS_EQUAL(1, shard.losses().restarts(Jobs::RestartNotice::Answer));
}

TEST(WorkerRestarts, ARestartThatAListShowsIsCountedOnce)
{
    Fleet fleet;
    fleet.world.crash("w1", 0ms, CrashKind::Silent);
    fleet.world.run(5s);
    fleet.checkRestarts(0, 1, 0);
    LONGS_EQUAL(fleet.w1().info.startTime, fleet.knownStartOfFirstWorker());
}

TEST(WorkerRestarts, ARestartThatTheEntryShowsIsCountedOnce)
{
    Fleet fleet;
    fleet.world.crash("w1", 0ms, CrashKind::Silent);
    fleet.world.run(0ms);
    fleet.world.publishWorkers();
    fleet.checkRestarts(1, 0, 0);
    fleet.world.run(5s);
    fleet.world.publishWorkers();
    fleet.checkRestarts(1, 0, 0);
}

TEST(WorkerRestarts, AnUnconfirmedRunIsReportedWhileItsEndIsAwaited)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.cutOffFirstWorker();
    fleet.world.run(3s);
    const Jobs::UnconfirmedRuns early = fleet.host().unconfirmedRuns();
    LONGS_EQUAL(1, early.runs);
    CHECK(early.longestWait > fleet.world.settings.shard.maxOrderDelay);
    fleet.world.run(1s);
    LONGS_EQUAL(1, fleet.host().unconfirmedRuns().runs);
    CHECK(fleet.host().unconfirmedRuns().longestWait == early.longestWait - 1s);

    fleet.world.run(early.longestWait - 1s - 10ms);
    LONGS_EQUAL(1, fleet.host().unconfirmedRuns().runs);
    CHECK(fleet.host().losses().lapsedRuns(Jobs::LeaseSource::Order, false) == 0);
    fleet.world.run(20ms);
    LONGS_EQUAL(0, fleet.host().unconfirmedRuns().runs);
    CHECK(fleet.host().unconfirmedRuns().longestWait == 0ms);
    fleet.checkLapsedRun("m1", Jobs::LeaseSource::Order, false);
}

TEST(WorkerRestarts, AConfirmedRunIsCountedAsSuchWhenItIsGivenUp)
{
    Fleet fleet;
    fleet.submit("a");
    fleet.world.run(2s);
    fleet.cutOffFirstWorker();
    for (int n = 0; n < 60; ++n) {
        fleet.world.run(100ms);
        LONGS_EQUAL(0, fleet.host().unconfirmedRuns().runs);
    }
    fleet.checkLapsedRun("m1", Jobs::LeaseSource::Order, true);
}

TEST(WorkerRestarts, ARunThatTheNextOwnerGivesUpIsCountedThere)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.world.kill("m1");
    fleet.cutOffFirstWorker();
    fleet.checkThatTaskRunsOnSecondWorker();
    fleet.checkLapsedRun("m2", Jobs::LeaseSource::Takeover, false);
}

TEST(WorkerRestarts, CountsRemainWhenAShardIsLostAndRegained)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.cutOffFirstWorker();
    fleet.checkThatTaskRunsOnSecondWorker();
    const Jobs::LossCounts before = fleet.host().losses();
    CHECK(before != Jobs::LossCounts());

    fleet.host().setCandidate(false);
    fleet.world.run(5s);
    CHECK(!fleet.host().owns(0));
    CHECK(fleet.host().losses() == before);

    fleet.host().setCandidate(true);
    fleet.host("m2").setCandidate(false);
    fleet.world.run(5s);
    CHECK(fleet.host().owns(0));
    CHECK(fleet.host().losses() == before);
    fleet.world.crash("w2", 0ms, CrashKind::Silent);
    fleet.world.run(5s);
    fleet.checkRestarts(0, 1, 1);
    LONGS_EQUAL(1, fleet.host().losses().lapsedRuns(Jobs::LeaseSource::Order, false));
}

TEST(WorkerRestarts, EachLabelNamesOneCount)
{
    std::set<std::string_view> labels;
    for (const Jobs::RestartNotice it : Jobs::LossCounts::RestartNotices) {
        labels.insert(toString(it));
    }
    LONGS_EQUAL(Jobs::LossCounts::RestartNotices.size(), labels.size());
    labels.clear();
    for (const Jobs::LeaseSource it : Jobs::LossCounts::LeaseSources) {
        labels.insert(toString(it));
    }
    LONGS_EQUAL(Jobs::LossCounts::LeaseSources.size(), labels.size());
}

TEST(WorkerRestarts, CountsAddUp)
{
    Jobs::LossCounts first;
    first.addRestart(Jobs::RestartNotice::Entry);
    first.addLapsedRun(Jobs::LeaseSource::FirstList, true);
    Jobs::LossCounts second;
    second.addRestart(Jobs::RestartNotice::Entry);
    second.addRestart(Jobs::RestartNotice::Answer);
    second.addLapsedRun(Jobs::LeaseSource::FirstList, false);
    first += second;
    LONGS_EQUAL(2, first.restarts(Jobs::RestartNotice::Entry));
    LONGS_EQUAL(1, first.restarts(Jobs::RestartNotice::Answer));
    LONGS_EQUAL(0, first.restarts(Jobs::RestartNotice::RunList));
    LONGS_EQUAL(1, first.lapsedRuns(Jobs::LeaseSource::FirstList, true));
    LONGS_EQUAL(1, first.lapsedRuns(Jobs::LeaseSource::FirstList, false));

    Jobs::UnconfirmedRuns runs{2, 300ms};
    runs += {1, 500ms};
    runs += {1, 400ms};
    LONGS_EQUAL(4, runs.runs);
    CHECK(runs.longestWait == 500ms);
}
