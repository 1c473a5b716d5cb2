#include "simulatedplatform.h"

#include <base/logline.h>
#include <jobservice/handover.h>
#include <jobservice/ownership.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using JobService::Handover;
using JobService::Ownership;
using JobService::ReportedState;

namespace
{

constexpr Base::Instant Start{1h};
constexpr auto Lifetime = 1500ms;

// m1 owns all shards and has just lost an answer of the store when m0 joins, which the store would assign the
// first shard to.
void disturbAndAddMember(SimulatedPlatform &world)
{
    auto &m1 = world.members.at("m1")->platform;
    m1.losesRenewalAnswers = true;
    world.run(200ms);
    m1.losesRenewalAnswers = false;
    world.run(400ms);
    world.addMember("m0");
}

} // namespace

TEST_GROUP(Handover){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(Handover, WhileTheStoreAnswersInTimeNoShardIsKept)
{
    Handover handover;
    CHECK(!handover.mayKeep({Start, Start}, Start));
    handover.renewalAnswered(20ms, Start);
    CHECK(!handover.mayKeep({Start, Start}, Start));
}

TEST(Handover, AShardIsKeptWhileTheStoreAcceptsItsWrites)
{
    Handover handover;
    handover.renewalAnswered(160ms, Start);
    CHECK(handover.mayKeep({Start, std::nullopt}, Start + 700ms));
    CHECK(!handover.mayKeep({Start, std::nullopt}, Start + 800ms));
    CHECK(handover.mayKeep({Start, Start + 500ms}, Start + 1200ms));
    CHECK(!handover.mayKeep({Start, Start + 500ms}, Start + 1300ms));
    CHECK(!Handover::needsWrite({Start, Start + 500ms}, Start + 600ms));
    CHECK(Handover::needsWrite({Start, Start + 500ms}, Start + 700ms));
}

TEST(Handover, AShardIsHandedOverAfterTheDisturbanceOrTheLongestTime)
{
    Handover handover;
    handover.renewalMissed(Start);
    CHECK(handover.mayKeep({Start, Start + 2900ms}, Start + 2999ms));
    CHECK(!handover.mayKeep({Start, Start + 2900ms}, Start + 3s));
    handover.renewalMissed(Start + 6s);
    CHECK(!handover.mayKeep({Start, Start + 6s}, Start + 6s));
}

// The store may assign the shard to another member once this one joins with a generation that leaves it out.
TEST(Handover, TheGenerationOfAGrantIsNotFollowedWhileAShardIsKept)
{
    Ownership ownership;
    ownership.granted({3, {0, 1}}, Start, Lifetime);
    auto change = ownership.granted({5, {1, 2}}, Start + 400ms, Lifetime, true);
    CHECK(change.lost.empty());
    CHECK(change.gained == std::vector<JobService::ShardNumber>{2});
    LONGS_EQUAL(3, ownership.epoch(0));
    LONGS_EQUAL(3, ownership.generation());
    change = ownership.granted({5, {1, 2}}, Start + 800ms, Lifetime);
    CHECK(change.lost == std::vector<JobService::ShardNumber>{0});
    LONGS_EQUAL(5, ownership.generation());
}

TEST(Handover, AfterALapseNothingIsKept)
{
    Ownership ownership;
    ownership.granted({3, {0, 1}}, Start, Lifetime);
    const auto change = ownership.granted({5, {1}}, Start + 2s, Lifetime, true);
    LONGS_EQUAL(2, change.lost.size());
    LONGS_EQUAL(5, ownership.generation());
}

// The load: a job with short tasks runs while a member comes back and answers of the store are lost.
TEST(Handover, AMemberThatReturnsWhileAnswersAreLostGetsItsShardsLater)
{
    SimulatedPlatform world;
    world.addWorker("w1");
    world.addMember("m1");
    CHECK(world.submit(SimulatedPlatform::makeJob("a", 6, 4)));
    world.run(400ms);
    disturbAndAddMember(world);
    world.run(1s);
    const auto *m1 = world.members.at("m1").get();
    for (JobService::ShardNumber it = 0; m1->host.hasService(it); ++it) {
        CHECK(world.owner(it) == m1);
    }
    CHECK(m1->host.counts().shardsKept > 0);
    CHECK(world.submit(SimulatedPlatform::makeJob("b", 1, 1), 200ms));
    world.run(5s);
    CHECK(m1->host.counts().shardsLost > 0);
    CHECK(world.state("a") == ReportedState::Completed);
    CHECK(world.state("b") == ReportedState::Completed);
    for (const auto &[task, runs] : world.startedRuns) {
        LONGS_EQUAL(1, runs);
    }
    CHECK(world.violations.empty());
}

TEST(Handover, InCalmAMemberThatJoinsGetsItsShardsAtOnce)
{
    SimulatedPlatform world;
    world.addWorker("w1");
    world.addMember("m1");
    world.run(1s);
    world.addMember("m0");
    world.run(1s);
    LONGS_EQUAL(0, world.members.at("m1")->host.counts().shardsKept);
    CHECK(world.members.at("m1")->host.counts().shardsLost > 0);
}

TEST(Handover, AnOwnerThatEndsWhileItKeepsItsShardsIsReplaced)
{
    SimulatedPlatform world;
    world.taskTime = 3s;
    world.addWorker("w1");
    world.addMember("m1");
    CHECK(world.submit(SimulatedPlatform::makeJob("a", 2, 4)));
    world.run(400ms);
    disturbAndAddMember(world);
    world.run(600ms);
    CHECK(world.members.at("m1")->host.counts().shardsKept > 0);
    world.kill("m1");
    world.run(12s);
    CHECK(world.state("a") == ReportedState::Completed);
    for (const auto &[task, runs] : world.startedRuns) {
        LONGS_EQUAL(1, runs);
    }
    CHECK(world.violations.empty());
}

// The store is out of reach of the owner alone: its writes prove nothing any more.
TEST(Handover, AnOwnerThatLosesTheStoreGivesUpTheShardsThatItKeeps)
{
    SimulatedPlatform world;
    world.taskTime = 3s;
    world.addWorker("w1");
    auto &m1 = world.addMember("m1");
    CHECK(world.submit(SimulatedPlatform::makeJob("a", 2, 4)));
    world.run(400ms);
    disturbAndAddMember(world);
    world.run(600ms);
    CHECK(m1.host.counts().shardsKept > 0);
    m1.platform.isStoreDown = true;
    world.run(4s);
    CHECK(!m1.host.owns(0));
    world.run(8s);
    CHECK(world.state("a") == ReportedState::Completed);
    CHECK(world.violations.empty());
}
