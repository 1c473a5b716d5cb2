#include "scriptedshard.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>

using namespace std::chrono_literals;

// Run 1 of givenUpTask 0 of job "a" was given up on "w", which lists its end as done; run 2 goes on on "v".
TEST_GROUP(CountedRuns)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
    }

    void beginWith(const Jobs::JobSpec &job, const std::string &task0 = R"([0,2,0,"v","",0,0,1,0])")
    {
        std::string tasks = task0;
        for (std::uint32_t n = 1; n < job.stages[0].count; ++n) {
            tasks += ",[0,0,0]";
        }
        fleet.load(job, R"({"state":0,"done":0,"next":1,"tasks":{"0":[[)" + tasks + "]]}}");
        fleet.begin();
        fleet.lists["v"].running.push_back({givenUpTask, 2, {}, 100, 0});
        fleet.listEnd("w", givenUpTask, 1);
    }

    void endRunOnV()
    {
        std::erase_if(fleet.lists["v"].running, [this](const auto &it) { return it.task == givenUpTask; });
    }

    const Jobs::TaskId givenUpTask{"a", 0, 0, 0};
    ScriptedShard fleet;
};

TEST(CountedRuns, ARunWhoseTaskIsDoneCountsForTheTaskLimit)
{
    auto job = makeJob("a", 4);
    job.stages[0].tasksPerWorker = 1;
    beginWith(job);
    fleet.run(3s);
    LONGS_EQUAL(0, fleet.startsOn("v"));
    LONGS_EQUAL(1, fleet.startsOn("w"));
    endRunOnV();
    fleet.run(2s);
    LONGS_EQUAL(1, fleet.startsOn("v"));
}

TEST(CountedRuns, ARunWhoseTaskIsDoneTakesUpRoom)
{
    for (auto &[id, info] : fleet.workers) {
        info.capacity = {2 * Cores, 8000, 0};
    }
    beginWith(makeJob("a", 6));
    fleet.run(3s);
    LONGS_EQUAL(1, fleet.startsOn("v"));
    LONGS_EQUAL(2, fleet.startsOn("w"));
    endRunOnV();
    fleet.run(2s);
    LONGS_EQUAL(2, fleet.startsOn("v"));
}

TEST(CountedRuns, ARunWhoseTaskIsDoneUsesTheQuotaAndShareOfItsWorkspace)
{
    auto job = makeJob("a", 8);
    job.workspace = "x";
    const Jobs::Resources limit{3 * Cores, 8000, 0};
    fleet.shard->setQuotaLimits({{"x", {limit, limit}}});
    beginWith(job);
    fleet.run(3s);
    LONGS_EQUAL(2, fleet.starts.size());
    LONGS_EQUAL(3 * Cores, fleet.shard->quotaUsage().of("x").running.milliCores);
    endRunOnV();
    fleet.run(2s);
    LONGS_EQUAL(3, fleet.starts.size());
    LONGS_EQUAL(3 * Cores, fleet.shard->quotaUsage().of("x").running.milliCores);
}

TEST(CountedRuns, ARunWhoseTaskIsDoneStaysSuspectAndIsolated)
{
    beginWith(makeJob("a", 1), R"([0,2,0,"v","",0,2,1,0])");
    fleet.run(1s);
    CHECK(fleet.shard->find("a")->state == Jobs::JobState::Completed);
    LONGS_EQUAL(1, fleet.worker("v").suspects.size());
    LONGS_EQUAL(1, fleet.worker("v").isolatedRuns.size());
    endRunOnV();
    fleet.run(2s);
    CHECK(fleet.worker("v").suspects.empty());
    CHECK(fleet.worker("v").isolatedRuns.empty());
}

TEST(CountedRuns, AWorkerIsNotEmptyWhileARunWhoseTaskIsDoneGoesOn)
{
    beginWith(makeJob("a", 1));
    fleet.run(1s);
    CHECK(!fleet.shard->evacuate("v", fleet.now));
    endRunOnV();
    fleet.run(2s);
    CHECK(fleet.shard->evacuate("v", fleet.now));
}

TEST(CountedRuns, ARunWhoseTaskIsDoneIsStoppedAtOnceAndItsStopRepeated)
{
    fleet.answersStops = false;
    beginWith(makeJob("a", 1));
    fleet.run(100ms);
    CHECK(!fleet.stops.empty());
    CHECK(fleet.stops[0].task == givenUpTask);
    LONGS_EQUAL(2, fleet.stops[0].attempt);
    STRCMP_EQUAL("v", fleet.stops[0].worker.c_str());
    fleet.run(1s);
    CHECK(fleet.stops.size() >= 3);
    endRunOnV();
    fleet.run(2s);
    LONGS_EQUAL(0, fleet.shard->strayRunCount());
}

TEST(CountedRuns, AConfirmedStopOfARunIsNotRepeated)
{
    beginWith(makeJob("a", 1));
    fleet.run(300ms);
    LONGS_EQUAL(1, fleet.stops.size());
}

TEST(CountedRuns, ARunWhoseTaskIsDoneIsGivenUpWithTheLeaseOfItsWorker)
{
    auto job = makeJob("a", 2);
    job.workspace = "x";
    fleet.shard->setQuotaLimits({{"x", {{Cores, 8000, 0}, {Cores, 8000, 0}}}});
    beginWith(job);
    fleet.run(200ms);
    fleet.silent.insert("v");
    fleet.run(3s);
    LONGS_EQUAL(1, fleet.shard->strayRunCount());
    LONGS_EQUAL(0, fleet.starts.size());
    fleet.run(9s); // the longest lease, as an earlier owner may have given it
    LONGS_EQUAL(0, fleet.shard->strayRunCount());
    LONGS_EQUAL(1, fleet.startsOn("w"));
}

TEST(CountedRuns, ARunWhoseTaskIsDoneEndsWithARestartOfItsWorker)
{
    auto job = makeJob("a", 4);
    job.stages[0].tasksPerWorker = 1;
    beginWith(job);
    fleet.run(1s);
    fleet.lists["v"] = {};
    fleet.lists["v"].startTime = 2;
    fleet.run(2s);
    LONGS_EQUAL(0, fleet.shard->strayRunCount());
    LONGS_EQUAL(1, fleet.startsOn("v"));
}

TEST(CountedRuns, RunsOfACompletedGangThatGoOnCount)
{
    for (auto &[id, info] : fleet.workers) {
        info.capacity = {Cores, 8000, 0};
    }
    fleet.addWorker("u");
    fleet.workers["u"].capacity = {Cores, 8000, 0};
    auto gang = makeJob("a", 2);
    gang.stages[0].isGang = true;
    fleet.load(
        gang,
        R"({"state":0,"done":0,"next":1,"tasks":{"0":[[[0,2,0,"v","",0,0,1,0],[0,2,0,"u","",0,0,1,0]]]}})");
    fleet.begin();
    fleet.shard->submit(makeJob("b", 3), 1, fleet.now, Wall);
    fleet.lists["v"].running.push_back({givenUpTask, 2, {}, 100, 0});
    fleet.lists["u"].running.push_back({{"a", 0, 0, 1}, 2, {}, 100, 0});
    fleet.listEnd("w", givenUpTask, 1);
    fleet.run(3s);
    CHECK(fleet.shard->find("a")->state == Jobs::JobState::Completed);
    LONGS_EQUAL(2, fleet.shard->strayRunCount());
    LONGS_EQUAL(0, fleet.startsOn("v") + fleet.startsOn("u"));
    fleet.lists["u"].running.clear();
    fleet.run(2s);
    LONGS_EQUAL(1, fleet.startsOn("u"));
    LONGS_EQUAL(0, fleet.startsOn("v"));
}

TEST(CountedRuns, AListedRunThatIsNotTheCurrentOneCountsUntilItEnds)
{
    auto job = makeJob("a", 2);
    job.stages[0].tasksPerWorker = 1;
    fleet.load(job, R"({"state":0,"done":0,"next":1,"tasks":{"0":[[[1,1,0],[0,0,0]]]}})");
    fleet.begin();
    fleet.workers.erase("w");
    fleet.listWorkers();
    fleet.lists["v"].running.push_back({givenUpTask, 1, {}, 100, 0});
    fleet.run(3s);
    LONGS_EQUAL(0, fleet.starts.size());
    endRunOnV();
    fleet.run(2s);
    LONGS_EQUAL(1, fleet.startsOn("v"));
}

TEST(CountedRuns, APlannedStartIsNotSentToAWorkerThatHasListedARunMeanwhile)
{
    auto job = makeJob("b", 2);
    job.stages[0].tasksPerWorker = 1;
    fleet.workers.erase("w");
    fleet.begin();
    fleet.run(500ms);
    fleet.appendTime = 2500ms;
    fleet.shard->submit(job, 1, fleet.now, Wall);
    fleet.run(100ms);
    LONGS_EQUAL(1, fleet.worker("v").runs.size());
    fleet.lists["v"].running.push_back({{"b", 0, 0, 1}, 1, {}, 100, 0});
    fleet.run(5s);
    LONGS_EQUAL(1, fleet.shard->strayRunCount());
    LONGS_EQUAL(0, fleet.starts.size());
}

TEST(CountedRuns, ATaskDoesNotStartWhileAnEarlierRunOfItIsListed)
{
    fleet.load(makeJob("a", 1), R"({"state":0,"done":0,"next":1,"tasks":{"0":[[[0,1,0]]]}})");
    fleet.begin();
    fleet.silent.insert("w");
    fleet.lists["v"].running.push_back({givenUpTask, 1, {}, 100, 0});
    fleet.run(3s);
    LONGS_EQUAL(1, fleet.shard->strayRunCount());
    fleet.silent.clear();
    fleet.run(1s);
    LONGS_EQUAL(0, fleet.starts.size());
    endRunOnV();
    fleet.run(2s);
    LONGS_EQUAL(1, fleet.starts.size());
}

TEST(CountedRuns, AGangDoesNotStartWhileAnEarlierRunOfAMemberIsListed)
{
    auto gang = makeJob("a", 2);
    gang.stages[0].isGang = true;
    fleet.load(gang, R"({"state":0,"done":0,"next":1,"tasks":{"0":[[[0,1,0],[0,1,0]]]}})");
    fleet.begin();
    fleet.silent.insert("w");
    for (auto &[id, info] : fleet.workers) {
        info.capacity = {2 * Cores, 8000, 0};
    }
    fleet.listWorkers();
    fleet.lists["v"].running.push_back({givenUpTask, 1, {}, 100, 0});
    fleet.run(3s);
    LONGS_EQUAL(1, fleet.shard->strayRunCount());
    fleet.silent.clear();
    fleet.run(1s);
    LONGS_EQUAL(0, fleet.starts.size());
}

TEST(CountedRuns, AnOutdatedListDoesNotBringBackARunThatHasEnded)
{
    beginWith(makeJob("a", 1));
    fleet.run(300ms);
    const Jobs::RunList old = [this] {
        Jobs::RunList list = fleet.lists["v"];
        list.clock = fleet.clock() - 200;
        return list;
    }();
    endRunOnV();
    fleet.run(2s);
    LONGS_EQUAL(0, fleet.shard->strayRunCount());
    Jobs::RenewLease late;
    late.worker = "v";
    late.token = fleet.worker("v").token;
    late.number = fleet.worker("v").lastRenewal - 1;
    fleet.shard->renewAnswered(late, Jobs::OrderResult::Done, old, fleet.now, Wall);
    LONGS_EQUAL(0, fleet.shard->strayRunCount());
}

TEST(CountedRuns, ARunStaysSuspectAfterTheEndOfAnotherRunOfItsTaskThere)
{
    auto job = makeJob("a", 1);
    fleet.load(job, R"({"state":0,"done":0,"next":1,"tasks":{"0":[[[0,2,0,"v","",0,2,1,0]]]}})");
    fleet.begin();
    fleet.lists["v"].running.push_back({givenUpTask, 1, {}, 100, 0});
    fleet.lists["v"].running.push_back({givenUpTask, 2, {}, 100, 0});
    fleet.run(1s);
    std::erase_if(fleet.lists["v"].running, [](const auto &it) { return it.attempt == 2; });
    fleet.listEnd("v", givenUpTask, 2);
    fleet.run(200ms);
    LONGS_EQUAL(1, fleet.shard->strayRunCount());
    LONGS_EQUAL(1, fleet.worker("v").suspects.size());
}

TEST(CountedRuns, ARunWhoseTaskIsDoneCountsForTheShareOfItsWorkspace)
{
    auto job = makeJob("a", 9);
    job.workspace = "x";
    for (auto &[id, info] : fleet.workers) {
        info.capacity = {4 * Cores, 8000, 0};
    }
    fleet.shard->setQuotaLimits(Jobs::QuotaUsage::Limits{});
    fleet.shard->setArrivalRates({{"x", 1}, {"y", 1}});
    beginWith(job);
    auto other = makeJob("b", 9);
    other.workspace = "y";
    fleet.shard->submit(other, 1, fleet.now, Wall);
    fleet.run(3s);
    double used = 0;
    for (const auto &it : fleet.shard->fairShares().shares()) {
        used += it.used;
    }
    LONGS_EQUAL(7, fleet.starts.size()); // the stray run takes up the eighth place
    DOUBLES_EQUAL(1, used, 0.01);
}

TEST(CountedRuns, ARunThatIsListedBeforeItsTaskGetsThatAttemptIsCountedOnce)
{
    fleet.workers.erase("w");
    fleet.begin();
    fleet.shard->submit(makeJob("a", 1), 1, fleet.now, Wall);
    fleet.lists["v"].running.push_back({givenUpTask, 1, {}, 100, 0});
    fleet.run(3s);
    LONGS_EQUAL(Cores, fleet.worker("v").used.milliCores);
}

TEST(CountedRuns, WhatRunsTakeUpIsNeitherLeakedNorReleasedTwice)
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&random](int n) {
            return int(random() % unsigned(n));
        };
        ScriptedShard it;
        it.addWorker("u");
        it.shard->setQuotaLimits(Jobs::QuotaUsage::Limits{});
        for (const char *name : {"a", "b"}) {
            auto job = makeJob(name, 6);
            job.workspace = "x";
            job.stages[0].tasksPerWorker = name[0] == 'a' ? 2 : 0;
            job.stages[0].isGang = draw(3) == 0;
            it.load(job, R"({"state":0,"done":0,"next":0,"tasks":{}})");
        }
        it.begin();
        std::map<std::string, std::uint64_t> ends;
        for (int step = 0; step < 150; ++step) {
            const std::string worker(1, "uvw"[draw(3)]);
            Jobs::RunList &list = it.lists[worker];
            const Jobs::TaskId task{draw(8) == 0 ? "unknown" : draw(2) ? "a" : "b", 0, 0, unsigned(draw(6))};
            const auto job = it.shard->jobs().find(task.job);
            const Jobs::Task *latest = job != it.shard->jobs().end() ? job->second.find(task) : nullptr;
            const unsigned attempt =
                latest && latest->attempt > 0 ? 1 + unsigned(draw(int(latest->attempt))) : 1;
            const bool mayExist = task.job == "unknown" || (latest && latest->attempt > 0);
            switch (draw(9)) {
            case 0:
            case 1:
                if (mayExist) {
                    list.running.push_back({task, attempt, {}, 100, 0});
                }
                break;
            case 2:
            case 3:
                if (!list.running.empty()) {
                    const auto run = list.running[std::size_t(draw(int(list.running.size())))];
                    std::erase_if(list.running, [&run](const auto &other) {
                        return other.task == run.task && other.attempt == run.attempt;
                    });
                    if (draw(4) != 0) {
                        list.ended.push_back({++ends[worker],
                                              run.task,
                                              run.attempt,
                                              draw(3) ? Jobs::RunEnd::Done : Jobs::RunEnd::Stopped,
                                              {}});
                    }
                }
                break;
            case 4:
                if (mayExist) {
                    list.ended.push_back({++ends[worker], task, attempt, Jobs::RunEnd::Done, {}});
                }
                break;
            case 5:
                if (!it.silent.insert(worker).second) {
                    it.silent.erase(worker);
                }
                break;
            case 6:
                if (draw(4) == 0) {
                    const auto born = list.startTime + 1;
                    list = {};
                    list.startTime = born;
                    ends[worker] = 0;
                }
                break;
            case 7:
                it.answersStops = draw(2) != 0;
                break;
            case 8:
                if (draw(20) == 0) {
                    it.shard->cancel("a", 1, it.now, Wall);
                }
                break;
            }
            it.run(std::chrono::milliseconds(50 * (1 + draw(draw(10) == 0 ? 300 : 8))));
            Jobs::Resources quota;
            for (const auto &[id, state] : it.shard->workers()) {
                Jobs::Resources used;
                for (const Jobs::TaskId &run : state.runs) {
                    const Jobs::Task *known = it.shard->jobs().find(run.job)->second.find(run);
                    CHECK(known && known->run != Jobs::RunState::None && known->worker == id);
                    used += Jobs::Resources{Cores, 100, 0};
                    quota += Jobs::Resources{Cores, 100, 0};
                }
                for (const auto &[run, stray] : state.strayRuns) {
                    used += stray.reserved;
                    quota += stray.size;
                }
                LONGS_EQUAL(used.milliCores, state.used.milliCores);
                for (const Jobs::TaskId &suspect : state.suspects) {
                    CHECK(state.runs.count(suspect) > 0
                          || std::any_of(state.strayRuns.begin(),
                                         state.strayRuns.end(),
                                         [&](const auto &other) { return other.first.task == suspect; }));
                }
            }
            LONGS_EQUAL(quota.milliCores, it.shard->quotaUsage().of("x").running.milliCores);
        }
        it.answersStops = true;
        it.silent.clear();
        it.shard->cancel("a", 1, it.now, Wall);
        it.shard->cancel("b", 1, it.now, Wall);
        it.run(3s); // starts nothing more
        for (auto &[id, list] : it.lists) {
            list.running.clear();
        }
        it.run(3s);
        LONGS_EQUAL(0, it.shard->strayRunCount());
    }
}

TEST(CountedRuns, APlannedStartIsNotSentToAWorkerThatHasListedARunOfAnUnknownJob)
{
    fleet.workers.erase("w");
    fleet.begin();
    fleet.run(500ms);
    fleet.appendTime = 2500ms;
    fleet.shard->submit(makeJob("b", 1), 1, fleet.now, Wall);
    fleet.run(100ms);
    LONGS_EQUAL(1, fleet.worker("v").runs.size());
    fleet.lists["v"].running.push_back({{"unknown", 0, 0, 0}, 1, {}, 100, 0});
    fleet.run(5s);
    LONGS_EQUAL(0, fleet.starts.size());
}

TEST(CountedRuns, AWorkerWithARunOfAnUnknownJobGetsNoOther)
{
    fleet.workers.erase("w");
    fleet.begin();
    fleet.shard->submit(makeJob("b", 1), 1, fleet.now, Wall);
    fleet.lists["v"].running.push_back({{"unknown", 0, 0, 0}, 1, {}, 100, 0});
    fleet.run(3s);
    LONGS_EQUAL(0, fleet.starts.size());
    fleet.lists["v"].running.clear();
    fleet.run(2s);
    LONGS_EQUAL(1, fleet.startsOn("v"));
}

TEST(CountedRuns, ANextOwnerCountsARunWhoseTaskIsDone)
{
    auto job = makeJob("a", 4);
    job.stages[0].tasksPerWorker = 1;
    beginWith(job);
    fleet.run(1s);
    LONGS_EQUAL(1, fleet.starts.size());
    fleet.queries.clear();
    fleet.appends.clear();
    fleet.shard = std::make_unique<Jobs::Shard>(Jobs::ShardSettings{}, 2, "n");
    fleet.begin();
    fleet.run(3s);
    LONGS_EQUAL(1, fleet.shard->strayRunCount());
    LONGS_EQUAL(0, fleet.startsOn("v"));
    LONGS_EQUAL(1, fleet.startsOn("w"));
    endRunOnV();
    fleet.run(2s);
    LONGS_EQUAL(1, fleet.startsOn("v"));
}

TEST(CountedRuns, AStrayRunDoesNotServeForALongRunningTask)
{
    auto job = makeJob("a", 2);
    job.stages[0].isLongRunning = true;
    job.stages[0].maxUnavailable = 1;
    fleet.load(
        job,
        R"({"state":0,"done":0,"next":1,"tasks":{"0":[[[0,2,0,"gone","",0,0,1,0],[0,1,0,"w","",0,0,1,0]]]}})");
    fleet.begin();
    fleet.lists["v"].running.push_back({givenUpTask, 1, {}, 100, 0});
    fleet.lists["w"].running.push_back({{"a", 0, 0, 1}, 1, {}, 100, 0});
    fleet.run(3s);
    fleet.stops.clear();
    fleet.shard->evacuate("w", fleet.now);
    fleet.run(200ms);
    CHECK(std::none_of(
        fleet.stops.begin(), fleet.stops.end(), [](const auto &it) { return it.worker == "w"; }));
}
