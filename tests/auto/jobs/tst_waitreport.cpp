#include "simulatedplatform.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

using namespace std::chrono_literals;

namespace
{

/// Submits one task of `milliCores` and returns why its job waits, as the owner reports it after `time`.
std::optional<Jobs::WaitReason> waitReason(SimulatedPlatform &world,
                                           const std::string &workspace,
                                           std::int64_t milliCores,
                                           std::chrono::milliseconds time = 1500ms)
{
    Jobs::JobSpec job = SimulatedPlatform::makeJob("waiting", 1, 1);
    job.workspace = workspace;
    job.stages[0].size.milliCores = milliCores;
    CHECK(world.submit(job));
    world.run(time);
    std::optional<Jobs::WaitReason> reason;
    world.members.at("m")->host.forEachServingShard([&](JobService::ShardNumber, const Jobs::Shard &shard) {
        for (const Jobs::WaitReport &it : shard.waitingJobs(world.timers.now())) {
            CHECK(it.longest != nullptr);
            STRCMP_EQUAL("waiting", it.longest->spec.id.c_str());
            STRCMP_EQUAL(workspace.c_str(), it.workspace.c_str());
            CHECK_EQUAL(1, it.jobs);
            CHECK_EQUAL(1, it.tasks);
            CHECK(it.longestWait >= 1s);
            reason = it.reason;
        }
    });
    return reason;
}

} // namespace

TEST_GROUP(WaitReport){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(WaitReport, NamesFullWorkers)
{
    SimulatedPlatform world;
    world.addWorker("w", 2000);
    world.addMember("m");
    world.run(2s);
    world.taskTime = 10s;
    CHECK(world.submit(SimulatedPlatform::makeJob("first", 1, 1)));
    world.run(200ms);
    CHECK(waitReason(world, {}, 2000) == Jobs::WaitReason::NoRoom);
}

TEST(WaitReport, NamesTheQuota)
{
    SimulatedPlatform world;
    world.setQuotas({{"a", {2000, 0, 0}}});
    world.addWorker("w", 8000);
    world.addMember("m");
    world.run(2s);
    world.taskTime = 10s;
    Jobs::JobSpec first = SimulatedPlatform::makeJob("first", 1, 1);
    first.workspace = "a";
    first.stages[0].size.milliCores = 1500;
    CHECK(world.submit(first));
    world.run(200ms);
    CHECK(waitReason(world, "a", 1000) == Jobs::WaitReason::Quota);
}

TEST(WaitReport, LeavesOutJobsThatRun)
{
    SimulatedPlatform world;
    world.addWorker("w", 8000);
    world.addMember("m");
    world.run(2s);
    world.taskTime = 10s;
    CHECK(!waitReason(world, {}, 2000));
}
