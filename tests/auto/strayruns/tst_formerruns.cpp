#include "scriptedshard.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace std::chrono_literals;

TEST_GROUP(FormerRuns)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
    }

    const Jobs::TaskId givenUpTask{"a", 0, 0, 0};
    ScriptedShard fleet;
};

TEST(FormerRuns, AnEndOfAFormerRunAsFailedCountsForTheAttempts)
{
    auto job = makeJob("a", 1);
    job.queue.maxAttempts = 1;
    fleet.load(job, R"({"state":0,"done":0,"next":1,"tasks":{"0":[[[0,1,0]]]}})");
    fleet.listEnd("w", givenUpTask, 1, Jobs::RunEnd::Failed);
    fleet.begin();
    fleet.run(2s);
    LONGS_EQUAL(0, fleet.starts.size());
}

TEST(FormerRuns, ANextOwnerCountsTheQuotaOfAStrayRunOnAWorkerOutOfReach)
{
    auto job = makeJob("a", 2);
    job.workspace = "x";
    fleet.shard->setQuotaLimits({{"x", {{Cores, 8000, 0}, {Cores, 8000, 0}}}});
    fleet.load(job, R"({"state":0,"done":0,"next":1,"tasks":{"0":[[[0,2,0,"v","",0,0,1,0],[0,0,0]]]}})");
    fleet.begin();
    fleet.lists["v"].running.push_back({givenUpTask, 2, {}, 100, 0});
    fleet.listEnd("w", givenUpTask, 1);
    fleet.run(200ms);
    fleet.silent.insert("v");
    fleet.run(500ms);
    LONGS_EQUAL(1, fleet.shard->strayRunCount());
    LONGS_EQUAL(0, fleet.starts.size());
    fleet.queries.clear();
    fleet.appends.clear();
    fleet.shard = std::make_unique<Jobs::Shard>(Jobs::ShardSettings{}, 2, "n");
    fleet.shard->setQuotaLimits({{"x", {{Cores, 8000, 0}, {Cores, 8000, 0}}}});
    fleet.begin();
    fleet.run(1s);
    LONGS_EQUAL(0, fleet.starts.size());
}
