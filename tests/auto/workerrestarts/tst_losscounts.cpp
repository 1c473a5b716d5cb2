#include "restartedfleet.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>

using CrashKind = SimulatedPlatform::CrashKind;

namespace
{

JobService::ShardHost<SimulatedPlatform::Platform> &hostOf(Fleet &fleet, const std::string &member = "m1")
{
    return fleet.world.members[member]->host;
}

void checkRestarts(Fleet &fleet, std::uint64_t byEntry, std::uint64_t byList, std::uint64_t byAnswer)
{
    const Jobs::LossCounts losses = hostOf(fleet).losses();
    LONGS_EQUAL(byEntry, losses.restarts(Jobs::RestartNotice::Entry));
    LONGS_EQUAL(byList, losses.restarts(Jobs::RestartNotice::RunList));
    LONGS_EQUAL(byAnswer, losses.restarts(Jobs::RestartNotice::Answer));
}

/// Checks that one run has been given up with its worker's lease.
void checkLapsedRun(Fleet &fleet, const std::string &member, Jobs::LeaseSource source, bool isConfirmed)
{
    const Jobs::LossCounts losses = hostOf(fleet, member).losses();
    for (const Jobs::LeaseSource it : Jobs::LossCounts::LeaseSources) {
        LONGS_EQUAL(it == source && isConfirmed ? 1 : 0, losses.lapsedRuns(it, true));
        LONGS_EQUAL(it == source && !isConfirmed ? 1 : 0, losses.lapsedRuns(it, false));
    }
}

/// The start of w1 as its owner has it from the latest list.
std::int64_t knownStartOfFirstWorker(Fleet &fleet)
{
    std::int64_t start = 0;
    hostOf(fleet).forEachServingShard([&start](JobService::ShardNumber, const Jobs::Shard &shard) {
        start = shard.workers().at("w1").startTime;
    });
    return start;
}

} // namespace

TEST_GROUP(LossCounts){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(LossCounts, ARestartThatAnAnswerShowsIsCountedOnce)
{
    Fleet fleet;
    checkRestarts(fleet, 0, 0, 0);
    fleet.startAfterUnnoticedRestart("a");
    fleet.world.run(1ms);
    checkRestarts(fleet, 0, 0, 1);
    CHECK(knownStartOfFirstWorker(fleet) != fleet.w1().info.startTime);
    fleet.submit("b");
    fleet.world.run(5s);
    LONGS_EQUAL(fleet.w1().info.startTime, knownStartOfFirstWorker(fleet));
    checkRestarts(fleet, 0, 0, 1);
}

TEST(LossCounts, FurtherAnswersOfTheSameIncarnationAreNotCounted)
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

TEST(LossCounts, ARestartThatAListShowsIsCountedOnce)
{
    Fleet fleet;
    fleet.world.crash("w1", 0ms, CrashKind::Silent);
    fleet.world.run(5s);
    checkRestarts(fleet, 0, 1, 0);
    LONGS_EQUAL(fleet.w1().info.startTime, knownStartOfFirstWorker(fleet));
}

TEST(LossCounts, ARestartThatTheEntryShowsIsCountedOnce)
{
    Fleet fleet;
    fleet.world.crash("w1", 0ms, CrashKind::Silent);
    fleet.world.run(0ms);
    fleet.world.publishWorkers();
    checkRestarts(fleet, 1, 0, 0);
    fleet.world.run(5s);
    fleet.world.publishWorkers();
    checkRestarts(fleet, 1, 0, 0);
}

TEST(LossCounts, AnUnconfirmedRunIsReportedWhileItsEndIsAwaited)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.cutOffFirstWorker();
    fleet.world.run(3s);
    const Jobs::UnconfirmedRuns early = hostOf(fleet).unconfirmedRuns();
    LONGS_EQUAL(1, early.runs);
    CHECK(early.longestWait > fleet.world.settings.shard.leaseLimit - 3s);
    fleet.world.run(1s);
    LONGS_EQUAL(1, hostOf(fleet).unconfirmedRuns().runs);
    CHECK(hostOf(fleet).unconfirmedRuns().longestWait == early.longestWait - 1s);

    fleet.world.run(early.longestWait - 1s - 10ms);
    LONGS_EQUAL(1, hostOf(fleet).unconfirmedRuns().runs);
    CHECK(hostOf(fleet).losses().lapsedRuns(Jobs::LeaseSource::Order, false) == 0);
    fleet.world.run(20ms);
    LONGS_EQUAL(0, hostOf(fleet).unconfirmedRuns().runs);
    CHECK(hostOf(fleet).unconfirmedRuns().longestWait == 0ms);
    checkLapsedRun(fleet, "m1", Jobs::LeaseSource::Order, false);
}

TEST(LossCounts, AConfirmedRunIsCountedAsSuchWhenItIsGivenUp)
{
    Fleet fleet;
    fleet.submit("a");
    fleet.world.run(2s);
    fleet.cutOffFirstWorker();
    for (int n = 0; n < 60; ++n) {
        fleet.world.run(100ms);
        LONGS_EQUAL(0, hostOf(fleet).unconfirmedRuns().runs);
    }
    checkLapsedRun(fleet, "m1", Jobs::LeaseSource::Order, true);
}

TEST(LossCounts, ARunThatTheNextOwnerGivesUpIsCountedThere)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.world.kill("m1");
    fleet.cutOffFirstWorker();
    fleet.checkThatTaskRunsOnSecondWorker();
    checkLapsedRun(fleet, "m2", Jobs::LeaseSource::Takeover, false);
}

TEST(LossCounts, CountsRemainWhenAShardIsLostAndRegained)
{
    Fleet fleet;
    fleet.startAfterUnnoticedRestart("a");
    fleet.world.run(1ms); // the answer arrives
    fleet.cutOffFirstWorker();
    fleet.checkThatTaskRunsOnSecondWorker();
    const Jobs::LossCounts before = hostOf(fleet).losses();
    CHECK(before != Jobs::LossCounts());

    hostOf(fleet).setCandidate(false);
    fleet.world.run(5s);
    CHECK(!hostOf(fleet).owns(0));
    CHECK(hostOf(fleet).losses() == before);

    hostOf(fleet).setCandidate(true);
    hostOf(fleet, "m2").setCandidate(false);
    fleet.world.run(5s);
    CHECK(hostOf(fleet).owns(0));
    CHECK(hostOf(fleet).losses() == before);
    fleet.world.crash("w2", 0ms, CrashKind::Silent);
    fleet.world.run(5s);
    checkRestarts(fleet, 0, 1, 1);
    LONGS_EQUAL(1, hostOf(fleet).losses().lapsedRuns(Jobs::LeaseSource::Order, false));
}

TEST(LossCounts, EachLabelNamesOneCount)
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

TEST(LossCounts, CountsAddUp)
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
