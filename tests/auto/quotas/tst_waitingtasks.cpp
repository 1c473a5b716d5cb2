#include "simulatedplatform.h"

#include <base/logline.h>
#include <jobs/quotaledger.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using JobService::ReportedState;

// A task has to start within 3 s while its workspace uses under half of its quota and workers have room.

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds MaxWait{3000};
constexpr Milliseconds Step{100};

Jobs::JobSpec makeJobOf(const std::string &workspace, const std::string &id, Jobs::Resources size)
{
    Jobs::JobSpec job = SimulatedPlatform::makeJob(id, 1, 1);
    job.workspace = workspace;
    job.stages[0].size = size;
    return job;
}

/// `cells` cells of four workers each, and members that share them.
void addFleet(SimulatedPlatform &world, std::uint32_t cells, int members = 3)
{
    world.splitIntoCells(cells);
    for (std::uint32_t n = 0; n < 4 * cells; ++n) {
        SimulatedPlatform::Worker &worker = world.addWorker("w" + std::to_string(n), 64'000);
        worker.info.capacity.memory = 256'000;
        worker.info.rack = "r" + std::to_string(n % cells);
        worker.info.labels = {"a", worker.info.rack};
    }
    for (int n = 0; n < members; ++n) {
        world.addMember("m" + std::to_string(n));
    }
    world.run(2s);
}

/// An ID that maps to the shard.
std::string idOn(const SimulatedPlatform &world, JobService::ShardNumber shard, const std::string &prefix)
{
    for (int n = 0;; ++n) {
        std::string id = prefix + "-" + std::to_string(n);
        if (world.homeShardOf(id) == shard) {
            return id;
        }
    }
}

/// Follows how long accepted jobs have had no run while the rule asks for one.
class WaitCheck
{
public:
    WaitCheck(SimulatedPlatform &world, std::map<std::string, Jobs::Resources> quotas)
        : m_world(world)
        , m_quotas(std::move(quotas))
    {
    }

    void addJob(const std::string &id)
    {
        m_waits[id] = {};
    }

    /// Runs the world and returns the first job that has waited for too long; empty if there is none.
    std::string run(Milliseconds time)
    {
        for (Milliseconds n{}; n < time; n += Step) {
            m_world.run(Step);
            for (auto &[id, wait] : m_waits) {
                const Jobs::JobSpec &job = m_world.submitted.at(id);
                const bool isOver = m_world.doneRuns.count({id, 0, 0, 0}) > 0;
                const bool mustRun = !isOver && m_world.runsOf(id) == 0 && isUnderHalf(job.workspace);
                wait = mustRun ? wait + Step : Milliseconds{};
                if (wait > MaxWait) {
                    return id;
                }
            }
        }
        return {};
    }

private:
    bool isUnderHalf(const std::string &workspace) const
    {
        const Jobs::Resources running = m_world.runningOf(workspace);
        const Jobs::Resources &quota = m_quotas.at(workspace);
        return running.milliCores * 2 < quota.milliCores && running.memory * 2 < quota.memory;
    }

    SimulatedPlatform &m_world;
    std::map<std::string, Jobs::Resources> m_quotas;
    std::map<std::string, Milliseconds> m_waits;
};

} // namespace

TEST_GROUP(WaitingTasks){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

// Guards against parts that must hold the largest task that the workspace ever had.
TEST(WaitingTasks, ASmallTaskAfterALargeOneStarts)
{
    const Jobs::Resources quota{20'000, 80'000, 0};
    SimulatedPlatform world(1, 3);
    world.setQuotas({{"a", quota}});
    addFleet(world, 3);
    const std::string large = idOn(world, 0, "large");
    CHECK(world.submit(makeJobOf("a", large, {1000, 32'000, 0})));
    world.run(10s);
    CHECK(world.state(large) == ReportedState::Completed);
    const std::string small = idOn(world, 0, "small");
    CHECK(world.submit(makeJobOf("a", small, {500, 2000, 0})));
    world.run(3s);
    CHECK(world.state(small) == ReportedState::Completed);
}

// Guards against shards each of which leaves the rest of the quota to the others.
TEST(WaitingTasks, WaitingShardsDoNotWaitForEachOther)
{
    const Jobs::Resources quota{100'000, 400'000, 0};
    SimulatedPlatform world(1, 3);
    world.setQuotas({{"a", quota}});
    addFleet(world, 3);
    for (const JobService::ShardNumber shard : {0U, 1U, 2U}) {
        CHECK(world.submit(makeJobOf("a", idOn(world, shard, "large"), {4000, 64'000, 0})));
    }
    world.run(10s);
    // The quota is nearly used up by one shard, so the tasks of the others wait until it is free again.
    world.taskTime = 2s;
    for (int n = 0; n < 12; ++n) {
        const std::string id = idOn(world, 2, "use" + std::to_string(n));
        CHECK(world.submit(makeJobOf("a", id, {8000, 32'000, 0})));
    }
    std::vector<std::string> waiting;
    for (const JobService::ShardNumber shard : {0U, 1U}) {
        for (int n = 0; n < 3; ++n) {
            waiting.push_back(idOn(world, shard, "small" + std::to_string(n)));
            CHECK(world.submit(makeJobOf("a", waiting.back(), {3000, 9000, 0})));
        }
    }
    world.run(8s);
    for (const std::string &it : waiting) {
        CHECK(world.state(it) == ReportedState::Completed);
    }
}

namespace
{

/// Plays tasks of random sizes in three workspaces. Most need a sixtieth to a tenth of the quota, some up to
/// one `leastDivisor`th of it.
void playRandomTasks(int members, std::int64_t leastDivisor)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&random](std::int64_t least, std::int64_t most) {
            return std::uniform_int_distribution<std::int64_t>(least, most)(random);
        };
        const auto cells = static_cast<std::uint32_t>(pick(2, 6));
        std::map<std::string, Jobs::Resources> quotas;
        std::vector<Jobs::WorkspaceQuota> list;
        for (const char *name : {"a", "b", "c"}) {
            const std::int64_t cores = pick(10, 120);
            quotas[name] = {cores * 1000, cores * pick(2000, 6000), 0};
            list.push_back({name, quotas[name]});
        }
        SimulatedPlatform world(seed, cells);
        world.setQuotas(list);
        addFleet(world, cells, members);
        WaitCheck check(world, quotas);
        std::string late;
        const auto divisor = [&] {
            return pick(0, 9) == 0 ? pick(leastDivisor, 6) : pick(10, 60);
        };
        for (int n = 0; n < 120 && late.empty(); ++n) {
            const std::string workspace = list[static_cast<std::size_t>(pick(0, 2))].workspace;
            const Jobs::Resources &quota = quotas[workspace];
            const Jobs::Resources size{quota.milliCores / divisor(), quota.memory / divisor(), 0};
            const std::string id = "j" + std::to_string(n);
            world.taskTime = Milliseconds(pick(300, 3000));
            if (world.submit(makeJobOf(workspace, id, size), 400ms)) {
                check.addJob(id);
            }
            late = check.run(Milliseconds(100 * pick(0, n % 40 < 20 ? 1 : 8)));
        }
        late = late.empty() ? check.run(20s) : late;
        const std::string text =
            "seed " + std::to_string(seed) + ": " + late + " waits" + world.describe(late);
        CHECK_TRUE_TEXT(late.empty(), text.c_str());
        for (const std::string &it : world.violations) {
            FAIL(it.c_str());
        }
    }
}

} // namespace

TEST(WaitingTasks, StartUnderHalfOfTheQuota)
{
    playRandomTasks(3, 3);
}

// Guards against allocations that one append raises for several shards, each as if the others had none.
TEST(WaitingTasks, StartWhereAMemberOwnsAllShards)
{
    const Jobs::Resources quota{8000, 32'000, 0};
    SimulatedPlatform world(1, 4);
    world.setQuotas({{"a", quota}});
    addFleet(world, 4, 1);
    WaitCheck check(world, {{"a", quota}});
    for (int n = 0; n < 24; ++n) {
        const std::string id =
            idOn(world, static_cast<JobService::ShardNumber>(n % 4), "j" + std::to_string(n));
        CHECK(world.submit(makeJobOf("a", id, {4600 + 200 * (n % 4), 9000, 0})));
        check.addJob(id);
    }
    STRCMP_EQUAL("", check.run(30s).c_str());
    for (const auto &[id, job] : world.submitted) {
        CHECK(world.state(id) == ReportedState::Completed);
    }
    CHECK(world.violations.empty());
}

// Guards against starts that are given up once stored, because another shard has begun to wait.
TEST(WaitingTasks, KeepWhatHasBeenAssignedWhileOthersWait)
{
    Jobs::QuotaLedger ledger;
    ledger.load("0/a", "[[9000,0,0],[0,0,0]]");
    ledger.load("1/a", "[[0,0,0],[4000,0,0]]");
    ledger.load("2/a", "[[0,0,0],[4000,0,0]]");
    const Jobs::WorkspaceQuota quota{"a", {10'000, 0, 0}};
    Jobs::QuotaUse use;
    use.running = {9000, 500, 0};
    CHECK_EQUAL(9000, ledger.limit(0, quota, use).amount.milliCores);
    use.running = {6000, 500, 0};
    CHECK_EQUAL(6000, ledger.limit(0, quota, use).amount.milliCores);
}

// Guards against a reduction that the store has rejected, and that limits the shard until anyone appends.
TEST(WaitingTasks, StartAfterAReductionThatWasNotStored)
{
    SimulatedPlatform world(1, 1);
    world.setQuotas({{"a", {20'000, 0, 0}}});
    addFleet(world, 1);
    const auto submitJob = [&world](const std::string &id) {
        Jobs::JobSpec job = SimulatedPlatform::makeJob(id, 1, 16);
        job.workspace = "a";
        CHECK(world.submit(job));
    };
    submitJob("first");
    world.run(300ms);
    for (auto &[name, member] : world.members) {
        member->platform.rejectsConditionalAppends = true;
    }
    world.run(3s);
    CHECK(world.state("first") == ReportedState::Completed);
    submitJob("second"); // needs what the rejected append would have given back
    world.run(300ms);
    for (auto &[name, member] : world.members) {
        member->platform.rejectsConditionalAppends = false;
    }
    world.run(4s);
    CHECK(world.state("second") == ReportedState::Completed);
}

// Guards against an allocation beyond the quota that is no longer marked as such and blocks all shards.
TEST(WaitingTasks, ATaskBeyondTheQuotaStartsWithAnUnmarkedAllocation)
{
    const Jobs::WorkspaceQuota quota{"a", {8000, 0, 0}};
    Jobs::QuotaUse use;
    use.next = {10'000, 0, 0};
    use.blocked = {20'000, 0, 0};
    use.largestTask = use.next;
    Jobs::QuotaLedger ledger;
    ledger.load("0/a", "[[10000,0,0],[10000,0,0]]");
    ledger.load("1/a", "[[0,0,0],[2000,0,0]]");
    const auto change = ledger.change(0, quota, use, false);
    CHECK(change.has_value());
    ledger.load(change->record.key, change->record.value);
    CHECK_EQUAL(10'000, ledger.limit(0, quota, use).withOneTask.milliCores);
}

// Guards against a start beyond the quota that is given up because the allocation is written again meanwhile.
TEST(WaitingTasks, ATaskBeyondTheQuotaKeepsItsAllocationUntilItEnds)
{
    const Jobs::WorkspaceQuota quota{"a", {8000, 0, 0}};
    Jobs::QuotaLedger ledger;
    ledger.load("0/a", R"([[10000,0,0],[0,0,0],"oversized"])");
    Jobs::QuotaUse use;
    use.running = {10'000, 0, 0};
    use.next = {3000, 0, 0};
    use.blocked = {3000, 0, 0};
    use.largestTask = use.running;
    const auto change = ledger.change(0, quota, use, false);
    CHECK(change.has_value()); // it wants more
    ledger.load(change->record.key, change->record.value);
    CHECK_EQUAL(10'000, ledger.limit(0, quota, use).withOneTask.milliCores);
}

// Guards against several tasks that start within an allocation that one larger task has got beyond the quota.
TEST(WaitingTasks, TheAllocationOfATaskBeyondTheQuotaIsForOneTask)
{
    SimulatedPlatform world(1, 1);
    world.setQuotas({{"a", {2000, 0, 0}}});
    addFleet(world, 1);
    Jobs::JobSpec job = SimulatedPlatform::makeJob("j", 2, 4);
    job.workspace = "a";
    job.stages[0].count = 1;
    job.stages[0].size.milliCores = 9000;
    job.stages[1].size.milliCores = 4000;
    CHECK(world.submit(job));
    world.run(10s);
    CHECK(world.state("j") == ReportedState::Completed);
    for (const std::string &it : world.violations) {
        FAIL(it.c_str());
    }
}
