#include "queuesimulation.h"

#include <jobs/fairshares.h>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <string>

using namespace std::chrono_literals;

namespace
{

constexpr Jobs::WallTime Now{1'000'000ms};

/// The unfinished jobs of a service with 9 cores and 18 MB of memory.
struct Queue {
    std::deque<Jobs::Job> jobs;
    std::vector<Jobs::UnfinishedOccurrence> ready;
    Jobs::FairShares shares;
    Jobs::QuotaUsage quotas;
    Jobs::Resources capacity{9000, 18, 0};

    Queue()
    {
        shares.setWeights({{"a", 1}, {"b", 1}});
    }

    Jobs::Job &add(const std::string &workspace,
                   const Jobs::Resources &size,
                   Jobs::RunState run = Jobs::RunState::None,
                   std::uint32_t tasks = 1)
    {
        Jobs::Job &job = jobs.emplace_back();
        job.spec.id = workspace + std::to_string(jobs.size());
        job.spec.workspace = workspace;
        job.spec.queue = {"q", "s", 0, 4, 1.6, 600ms, std::nullopt};
        job.spec.stages.resize(1);
        job.spec.stages[0].count = tasks;
        job.spec.stages[0].size = size;
        job.spec.stages[0].estimate = 1000ms;
        job.acceptedAt = Now;
        Jobs::Occurrence &occurrence = job.addOccurrence(0);
        for (Jobs::Task &it : occurrence.stages[0].allTasks()) {
            it.run = run;
        }
        job.hasStarted = run != Jobs::RunState::None;
        ready.push_back({&job, 0, &occurrence});
        return job;
    }

    /// The workspaces in the order in which their occurrences go, with `|` before those that let others go.
    std::string order()
    {
        const std::size_t first = shares.defer(ready, {{"s", capacity}}, quotas, Now);
        std::string text;
        for (std::size_t n = 0; n < ready.size(); ++n) {
            text += n == first ? "|" : "";
            text += ready[n].job->spec.workspace;
        }
        return text;
    }
};

struct OfWorkspaces {
    double relativeValue = 0;
    double relativeValueOfOthers = 0;
};

/// Twenty workspaces of very uneven size whose accepted load is twice the usual one, and whose `heavy`
/// largest ones send `factor` times their usual load.
OfWorkspaces play(bool hasShares, double overload, int heavy, double factor)
{
    constexpr std::uint32_t Seeds = 3;
    OfWorkspaces sum;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        QueueLoad load;
        load.seed = seed;
        load.overload = overload;
        load.milliCores = 200'000;
        load.cycles = 1;
        load.workspaces = 20;
        load.sizeExponent = 1.2;
        load.acceptedFactor = 2;
        load.isLoadOfOthersFixed = true;
        load.heavyWorkspaces = heavy;
        load.firstWorkspaceFactor = factor;
        Jobs::FairShares shares;
        Jobs::FairShares::Weights weights;
        for (int n = 0; n < load.workspaces; ++n) {
            weights[std::to_string(n)] = std::pow(n + 1, -load.sizeExponent);
        }
        shares.setWeights(hasShares ? weights : Jobs::FairShares::Weights());
        const Jobs::QuotaUsage quotas;
        const auto outcome = simulateQueue(load, [&](auto &ready, Jobs::WallTime now) {
            Jobs::sortByUrgency(ready, now);
            shares.defer(ready, {{"s", {load.milliCores, 1'000'000, 0}}}, quotas, now);
        });
        sum.relativeValue += outcome.relativeValue / Seeds;
        sum.relativeValueOfOthers += outcome.relativeValueOfOthers / Seeds;
    }
    return sum;
}

} // namespace

TEST_GROUP(FairShares){};

TEST(FairShares, KeepTheOrderWhileAllFit)
{
    Queue queue;
    for (const char *it : {"a", "a", "b", "a", "b"}) {
        queue.add(it, {1000, 1, 0});
    }
    STRCMP_EQUAL("aabab", queue.order().c_str());
    CHECK(queue.shares.shares().empty());
}

TEST(FairShares, KeepTheOrderWithoutWeights)
{
    Queue queue;
    queue.shares.setWeights({{"a", 0}});
    queue.add("a", {9000, 1, 0});
    queue.add("a", {9000, 1, 0});
    queue.add("b", {9000, 1, 0});
    STRCMP_EQUAL("aab", queue.order().c_str());
}

// The one that asks for less than its share waits for nobody, and the other one has all that it leaves.
TEST(FairShares, GoToWhoAsksForLittleFirst)
{
    Queue queue;
    for (int n = 0; n < 12; ++n) {
        queue.add("a", {1000, 1, 0});
    }
    queue.add("b", {1000, 1, 0});
    queue.add("b", {1000, 1, 0});
    STRCMP_EQUAL("aaaaaaabb|aaaaa", queue.order().c_str());
    LONGS_EQUAL(2, queue.shares.shares().size());
    const Jobs::FairShares::Share &heavy = queue.shares.shares()[0];
    STRCMP_EQUAL("a", heavy.workspace.c_str());
    LONGS_EQUAL(5, heavy.deferred);
    DOUBLES_EQUAL(12.0 / 9, heavy.asked, 0.001);
    DOUBLES_EQUAL(7.0 / 9, heavy.entitled, 0.001);
}

// The example of Ghodsi et al.: three tasks of 1 core and 4 MB, and two of 3 cores and 1 MB, are two thirds
// of the memory and of the cores.
TEST(FairShares, AreOfTheDominantResource)
{
    Queue queue;
    for (int n = 0; n < 20; ++n) {
        queue.add("a", {1000, 4, 0});
    }
    for (int n = 0; n < 5; ++n) {
        queue.add("b", {3000, 1, 0});
    }
    STRCMP_EQUAL("aaabbbbb|aaaaaaaaaaaaaaaaa", queue.order().c_str());
    DOUBLES_EQUAL(2.0 / 3, queue.shares.shares()[0].entitled, 0.001);
    DOUBLES_EQUAL(2.0 / 3, queue.shares.shares()[1].entitled, 0.001);
}

TEST(FairShares, FollowTheWeights)
{
    Queue queue;
    queue.shares.setWeights({{"a", 1}, {"b", 2}});
    for (int n = 0; n < 10; ++n) {
        queue.add("a", {1000, 1, 0});
    }
    for (int n = 0; n < 9; ++n) {
        queue.add("b", {1000, 1, 0});
    }
    STRCMP_EQUAL("aaabbbbbbbbb|aaaaaaa", queue.order().c_str());
}

// Nobody asks for much more than the others, so urgency alone decides.
TEST(FairShares, KeepTheOrderWhereAllAskForTooMuch)
{
    Queue queue;
    for (int n = 0; n < 8; ++n) {
        queue.add("a", {1000, 1, 0});
    }
    for (int n = 0; n < 6; ++n) {
        queue.add("b", {1000, 1, 0});
    }
    STRCMP_EQUAL("aaaaaaaabbbbbb", queue.order().c_str());
    LONGS_EQUAL(2, queue.shares.shares().size());
}

// A workspace that asked for nothing until now has no more than its share for it, and one whose tasks run,
// here as a new owner has read them from the records, has none left.
TEST(FairShares, CountWhatRuns)
{
    Queue queue;
    for (int n = 0; n < 6; ++n) {
        queue.add("a", {1000, 1, 0}, Jobs::RunState::Inherited);
    }
    queue.add("a", {1000, 1, 0});
    for (int n = 0; n < 3; ++n) {
        queue.add("b", {1000, 1, 0});
    }
    STRCMP_EQUAL("aaaaaabbb|a", queue.order().c_str());
}

// What an excess job has taken while there was room is part of the share, and excess jobs still go last.
TEST(FairShares, CountExcessThatRunsAndLeaveTheRestLast)
{
    Queue queue;
    queue.add("a", {1000, 1, 0});
    queue.add("b", {1000, 1, 0});
    queue.add("b", {1000, 1, 0});
    queue.add("a", {7000, 1, 0}, Jobs::RunState::Running).spec.isExcess = true;
    queue.add("b", {1000, 1, 0}).spec.isExcess = true;
    STRCMP_EQUAL("bb|aab", queue.order().c_str());
    CHECK(!queue.ready[2].job->spec.isExcess);
}

// Waiting tasks that the quota doesn't allow are not asked for, so the others may have the room.
TEST(FairShares, LeaveWhatAQuotaKeepsFromAWorkspace)
{
    Queue queue;
    Jobs::QuotaUsage::Limits limits;
    limits["a"] = {{2000, 18, 0}, {3000, 18, 0}};
    queue.quotas.setLimits(limits);
    for (int n = 0; n < 8; ++n) {
        queue.add("a", {1000, 0, 0});
    }
    for (int n = 0; n < 8; ++n) {
        queue.add("b", {1000, 0, 0});
    }
    queue.order();
    DOUBLES_EQUAL(7.0 / 9, queue.shares.shares()[1].entitled, 0.001);
    LONGS_EQUAL(1, queue.shares.shares()[1].deferred);
}

// Long-running tasks and jobs without a workspace reduce what is shared. A job whose tasks start together
// goes as a whole.
TEST(FairShares, AreOfWhatOtherJobsLeave)
{
    Queue queue;
    queue.add("a", {3000, 1, 0}, Jobs::RunState::Running).spec.stages[0].isLongRunning = true;
    queue.add("", {2000, 1, 0}, Jobs::RunState::Running);
    queue.add("a", {1000, 1, 0}, Jobs::RunState::None, 2).spec.stages[0].isGang = true;
    queue.add("a", {1000, 1, 0}, Jobs::RunState::None, 2).spec.stages[0].isGang = true;
    queue.add("a", {1000, 1, 0}, Jobs::RunState::None, 2).spec.stages[0].isGang = true;
    queue.add("b", {1000, 1, 0}, Jobs::RunState::None, 2).spec.stages[0].isGang = true;
    STRCMP_EQUAL("aab|aa", queue.order().c_str());
}

TEST(FairShares, OfAWorkspaceAloneAreAll)
{
    Queue queue;
    for (int n = 0; n < 12; ++n) {
        queue.add("a", {1000, 1, 0});
    }
    STRCMP_EQUAL("aaaaaaaaaaaa", queue.order().c_str());
}

// Answers large workspaces that send four or eight times their usual load, which is only partly beyond their
// accepted one: the others get more than by urgency alone, and over these loads all together lose nothing.
TEST(FairShares, OthersGetMoreBesideLargeWorkspacesThatSendManyTimesTheirLoad)
{
    double ofAllByUrgency = 0;
    double ofAllWithShares = 0;
    for (const int heavy : {1, 3}) {
        for (const double overload : {1.0, 1.6, 3.0}) {
            for (const double factor : {4.0, 8.0}) {
                const OfWorkspaces byUrgency = play(false, overload, heavy, factor);
                const OfWorkspaces withShares = play(true, overload, heavy, factor);
                CHECK(withShares.relativeValueOfOthers > byUrgency.relativeValueOfOthers);
                ofAllByUrgency += byUrgency.relativeValue;
                ofAllWithShares += withShares.relativeValue;
            }
        }
    }
    CHECK(ofAllWithShares >= ofAllByUrgency);
}

// Where all send their usual load, shares cost next to nothing.
TEST(FairShares, CostLittleWhereAllSendTheirUsualLoad)
{
    for (const double overload : {0.8, 1.0, 1.6, 3.0}) {
        const OfWorkspaces standing = play(false, overload, 1, 1);
        const OfWorkspaces shared = play(true, overload, 1, 1);
        CHECK(shared.relativeValue >= 0.95 * standing.relativeValue);
    }
}
