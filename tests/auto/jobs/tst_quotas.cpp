#include "simulatedplatform.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace std::chrono_literals;
using JobService::ReportedState;

namespace
{

using Milliseconds = std::chrono::milliseconds;

Jobs::JobSpec makeJobOf(const std::string &workspace, const std::string &id, std::uint32_t width)
{
    Jobs::JobSpec job = SimulatedPlatform::makeJob(id, 1, width);
    job.workspace = workspace;
    return job;
}

/// Four workers in each of three cells, and three members.
void addFleet(SimulatedPlatform &world)
{
    world.splitIntoCells(3);
    for (int n = 0; n < 12; ++n) {
        SimulatedPlatform::Worker &worker = world.addWorker("w" + std::to_string(n), 8000);
        worker.info.rack = "r" + std::to_string(n % 3);
        worker.info.labels = {"a", worker.info.rack};
    }
    for (const char *it : {"m1", "m2", "m3"}) {
        world.addMember(it);
    }
    world.run(2s);
}

void checkNoViolations(const SimulatedPlatform &world, const std::string &context = {})
{
    for (const std::string &it : world.violations) {
        FAIL((context + it).c_str());
    }
}

// Plays one seeded history of two workspaces whose load exceeds their quotas, while members are killed, lose
// the store or its answers, writes are carried out late and quotas change.
void playHistory(std::uint32_t seed)
{
    const std::string context = "seed " + std::to_string(seed) + ": ";
    SimulatedPlatform world(seed, 3);
    world.setQuotas({{"small", {4000, 0, 0}}, {"large", {20'000, 0, 0}}});
    addFleet(world);
    std::mt19937 random(seed);
    const auto pick = [&random](int least, int most) {
        return std::uniform_int_distribution<>(least, most)(random);
    };
    std::vector<std::string> accepted;
    int lastMember = 3;
    for (int step = 0; step < 40; ++step) {
        const auto job = makeJobOf(step % 2 == 0 ? "small" : "large",
                                   "j" + std::to_string(step),
                                   static_cast<std::uint32_t>(pick(4, 16)));
        if (world.submit(job, 400ms)) {
            accepted.push_back(job.id);
        }
        auto member = std::next(world.members.begin(), pick(0, static_cast<int>(world.members.size()) - 1));
        SimulatedPlatform::Worker &worker = world.workers["w" + std::to_string(pick(0, 11))];
        switch (pick(0, 7)) {
        case 0:
            world.kill(member->first);
            world.addMember("m" + std::to_string(++lastMember));
            break;
        case 1:
            member->second->platform.isStoreDown = !member->second->platform.isStoreDown;
            break;
        case 2:
            member->second->platform.losesAnswers = !member->second->platform.losesAnswers;
            break;
        case 3:
            world.isStoreDown = !world.isStoreDown;
            break;
        case 4:
            world.lateWriteShare = world.lateWriteShare > 0 ? 0 : 0.4;
            break;
        case 5:
            world.setQuotas({{"small", {1000L * pick(2, 6), 0, 0}}, {"large", {1000L * pick(4, 24), 0, 0}}},
                            1500ms);
            break;
        case 6:
            worker.delayedShare = worker.delayedShare > 0 ? 0 : 0.3;
            break;
        default:
            break;
        }
        world.run(Milliseconds(pick(50, 700)));
    }
    world.isStoreDown = false;
    world.lateWriteShare = 0;
    for (auto &[name, member] : world.members) {
        member->platform.isStoreDown = false;
        member->platform.losesAnswers = false;
    }
    for (auto &[id, worker] : world.workers) {
        worker.delayedShare = 0;
    }
    for (int n = 0; n < 90; ++n) {
        world.run(1s);
        world.publishWorkers();
    }
    checkNoViolations(world, context);
    for (const std::string &it : accepted) {
        if (world.state(it) != ReportedState::Completed) {
            FAIL((context + it + " is not done" + world.describe(it)).c_str());
        }
    }
}

} // namespace

TEST_GROUP(Quotas){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(Quotas, HoldOverAllShardsUnderFaults)
{
    for (std::uint32_t seed = 1; seed <= 120; ++seed) {
        playHistory(seed);
    }
}

// The load of a workspace may be on one shard while its quota was used on another one.
TEST(Quotas, FollowTheLoadToAnotherShard)
{
    SimulatedPlatform world(1, 3);
    world.setQuotas({{"a", {20'000, 0, 0}}});
    addFleet(world);
    // Jobs of the shard only, as many as its workers can run.
    const auto load = [&world](JobService::ShardNumber shard, const std::string &prefix) {
        std::vector<std::string> jobs;
        for (int n = 0; jobs.size() < 8; ++n) {
            const std::string id = prefix + std::to_string(n);
            if (world.homeShardOf(id) == shard) {
                CHECK(world.submit(makeJobOf("a", id, 2)));
                jobs.push_back(id);
            }
        }
        return jobs;
    };
    load(0, "first");
    world.run(100ms);
    CHECK_EQUAL(16'000, world.runningOf("a").milliCores);
    world.run(800ms);
    const auto jobs = load(1, "second");
    world.run(200ms);
    for (const std::string &it : jobs) {
        CHECK(world.state(it) != ReportedState::Queued);
    }
    checkNoViolations(world);
}

// A task whose workspace uses under half of its quota has to start within 3 s, also right after all owners
// were killed while the quota was used up.
TEST(Quotas, AreAvailableAfterAllOwnersWereKilled)
{
    SimulatedPlatform world(1, 3);
    world.setQuotas({{"a", {8000, 0, 0}}});
    addFleet(world);
    for (int n = 0; n < 6; ++n) {
        CHECK(world.submit(makeJobOf("a", "first" + std::to_string(n), 8)));
    }
    for (const char *it : {"m1", "m2", "m3"}) {
        world.kill(it);
    }
    for (const char *it : {"m4", "m5", "m6"}) {
        world.addMember(it);
    }
    world.run(15s);
    for (int n = 0; n < 6; ++n) {
        CHECK(world.state("first" + std::to_string(n)) == ReportedState::Completed);
    }
    for (int n = 0; n < 6; ++n) {
        CHECK(world.submit(makeJobOf("a", "second" + std::to_string(n), 1)));
    }
    world.run(3s);
    for (int n = 0; n < 6; ++n) {
        CHECK(world.state("second" + std::to_string(n)) != ReportedState::Queued);
    }
    checkNoViolations(world);
}

// Such a task would never start otherwise.
TEST(Quotas, ATaskLargerThanTheQuotaRunsAlone)
{
    SimulatedPlatform world(1, 3);
    world.setQuotas({{"a", {600, 0, 0}}});
    addFleet(world);
    CHECK(world.submit(makeJobOf("a", "j", 4)));
    world.run(10s);
    CHECK(world.state("j") == ReportedState::Completed);
    checkNoViolations(world);
}

TEST(Quotas, DoNotLimitJobsWithoutAWorkspace)
{
    SimulatedPlatform world(1, 3);
    world.setQuotas({{"a", {1000, 0, 0}}});
    addFleet(world);
    CHECK(world.submit(SimulatedPlatform::makeJob("j", 1, 12)));
    world.run(300ms);
    CHECK_EQUAL(12, world.runsOf("j"));
}

// An idle fleet must not write, and one in use only when the load moves.
TEST(Quotas, CostFewAppends)
{
    SimulatedPlatform world(1, 3);
    world.setQuotas({{"a", {40'000, 0, 0}}});
    addFleet(world);
    for (int n = 0; n < 40; ++n) {
        CHECK(world.submit(makeJobOf("a", "j" + std::to_string(n), 2)));
        world.run(250ms);
    }
    CHECK(world.appendsTo("quotas") <= 20); // over 10 s
    const std::size_t before = world.appendsTo("quotas");
    world.run(30s);
    CHECK(world.appendsTo("quotas") <= before + 6);
}
