#include "simulatedplatform.h"

#include <base/logline.h>
#include <http/client.h>
#include <jobservice/isolation.h>
#include <jobservice/requestrouter.h>
#include <jobservice/retryrules.h>
#include <jobservice/silentpeers.h>

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>

using namespace std::chrono_literals;
using JobService::JobReply;

// Covers requests for shards of this member. Forwarding to peers is covered by the tests of the http package.
TEST_GROUP(RequestRouter)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        world.addWorker("w1");
        auto &member = world.addMember("m1");
        router = std::make_unique<JobService::RequestRouter<SimulatedPlatform::Platform>>(
            member.platform,
            world.timers,
            peers,
            member.host,
            member.name,
            "z1",
            JobService::RouterSettings{});
        router->start([](std::span<const JobService::ShardOwner>) {});
        world.run(2s);
    }

    void submit(const std::string &id, Base::Duration limit = 3s)
    {
        reply.reset();
        sentAt = world.timers.now();
        router->route({0, JobService::Operation::Submit, SimulatedPlatform::makeJob(id, 1, 1), {}},
                      limit,
                      [this](const JobReply &answer) {
                          reply = answer;
                          answeredAt = world.timers.now();
                      });
    }

    /// Submits "b" when the owner has waited so long for an append that it refuses further requests.
    void submitWithoutTheStore(Base::Duration limit)
    {
        world.members.at("m1")->platform.isStoreDown = true;
        submit("a");
        world.run(500ms);
        submit("b", limit);
    }

    boost::asio::io_context context;
    SimulatedPlatform world;
    Http::Client peers{context, world.timers, {}};
    std::unique_ptr<JobService::RequestRouter<SimulatedPlatform::Platform>> router;
    std::optional<JobReply> reply;
    Base::Instant sentAt;
    Base::Instant answeredAt;
};

TEST(RequestRouter, AJobIsHandedToItsOwner)
{
    submit("a");
    world.run(200ms);
    CHECK(reply && reply->status == JobReply::Status::Done);
}

// Guards against refusing requests during a hand-over, after which callers retried half a second later
// (plaquewright-prod inc-7543, machines restarted one after the other: 328 refusals).
TEST(RequestRouter, ARequestWaitsWhileItsShardChangesHands)
{
    auto &host = world.members.at("m1")->host;
    host.setCandidate(false);
    world.run(50ms);
    submit("a");
    world.run(100ms);
    CHECK(!reply);
    host.setCandidate(true);
    world.run(500ms);
    CHECK(reply && reply->status == JobReply::Status::Done);
    CHECK(answeredAt - sentAt < 400ms);
}

TEST(RequestRouter, WithoutTheStoreARequestIsRefusedAtOnce)
{
    auto &member = *world.members.at("m1");
    member.host.setCandidate(false);
    member.platform.isStoreDown = true;
    world.run(3s);
    submit("a");
    world.run(10ms);
    CHECK(reply && reply->status == JobReply::Status::Refused);
}

// Guards against leaving a shard without an owner until the membership of the killed process lapses, 1.5 s
// later. After a power failure of all members, callers waited that long.
TEST(RequestRouter, AProcessThatTakesThePlaceOfAKilledOneEndsItsMembership)
{
    const std::string place = "127.0.0.1:1/i1/250/";
    world.members.at("m1")->host.setCandidate(false);
    world.run(100ms);
    world.addMember(place + "1");
    world.run(500ms);
    STRCMP_EQUAL((place + "1").c_str(), world.owner(0)->name.c_str());
    world.kill(place + "1");
    auto &next = world.addMember(place + "2");
    JobService::RequestRouter<SimulatedPlatform::Platform> started(
        next.platform, world.timers, peers, next.host, next.name, "z1", JobService::RouterSettings{});
    started.start([](std::span<const JobService::ShardOwner>) {});
    world.run(500ms);
    CHECK(world.owner(0) && world.owner(0)->name == next.name);
    CHECK(world.violations.empty());
}

TEST(RequestRouter, WithoutAnOwnerARequestIsRefusedSoon)
{
    world.members.at("m1")->host.setCandidate(false);
    world.run(2s);
    submit("a");
    world.run(2s);
    CHECK(reply && reply->status == JobReply::Status::Refused);
    CHECK(reply->retryAfter > 0ms);
    CHECK(answeredAt - sentAt < 800ms);
}

// Guards against replying MayHaveRun, after which a caller can't retry, although the next owner could have
// answered (22, 28 and 113 callers of cmavc-rota trouble-1, trouble-2 and cmavc-rota-grown scale-2).
TEST(RequestRouter, ARequestThatItsOwnerLeftUnansweredIsSentToTheNextOne)
{
    auto &host = world.members.at("m1")->host;
    submit("a");
    world.run(3ms); // the append of the record is in flight
    host.setCandidate(false);
    world.run(100ms);
    CHECK(!reply);
    host.setCandidate(true);
    world.run(800ms);
    CHECK(reply && reply->status == JobReply::Status::Done);
    CHECK(world.state("a").has_value());
}

// A request that may have been stored must not be reported as refused.
TEST(RequestRouter, ARefusalAfterAnUnansweredAttemptIsNotReported)
{
    auto &host = world.members.at("m1")->host;
    submit("a");
    world.run(3ms);
    host.setCandidate(false);
    world.run(3s);
    CHECK(reply && reply->status == JobReply::Status::Unknown);
}

// Guards against reporting that a job never runs while an append of the previous owner may still be stored.
// The job doesn't fit on any worker of the next owner, which therefore refuses it.
TEST(RequestRouter, AHopelessJobThatMayHaveBeenStoredIsNotDenied)
{
    auto &member = *world.members.at("m1");
    member.platform.isStoreDown = true;
    submit("a");
    world.run(3ms);
    member.host.setCandidate(false);
    world.workers.at("w1").info.capacity.milliCores = 1;
    world.publishWorkers();
    world.run(100ms);
    member.platform.isStoreDown = false;
    member.host.setCandidate(true);
    world.run(2900ms);
    CHECK(reply && reply->status == JobReply::Status::Unknown);
}

// Guards against refusing a request with a Retry-After of one second when its caller has less time than that
// left.
TEST(RequestRouter, ACallerThatCannotComeBackWaitsForTheStoreHere)
{
    submitWithoutTheStore(900ms);
    world.run(200ms);
    CHECK(!reply);
    world.members.at("m1")->platform.isStoreDown = false;
    world.run(600ms);
    CHECK(reply && reply->status == JobReply::Status::Done);
}

TEST(RequestRouter, ACallerThatCannotComeBackIsRefusedBeforeItsTimeIsOver)
{
    submitWithoutTheStore(900ms);
    world.run(800ms);
    CHECK(reply && reply->status == JobReply::Status::Refused);
}

TEST(RequestRouter, ACallerThatCanComeBackIsRefusedAtOnceWhileTheStoreIsAway)
{
    submitWithoutTheStore(3s);
    world.run(10ms);
    CHECK(reply && reply->status == JobReply::Status::Refused);
}

// Guards against accepting requests that only other members could serve. An isolated member did so for three
// seconds (zone cut off: up to 67 callers refused that their platform could have sent to another zone).
TEST(RequestRouter, AMemberWithoutAnyContactIsIsolated)
{
    auto &member = *world.members.at("m1");
    CHECK(!router->isIsolated());
    member.platform.isStoreDown = true;
    world.run(1s);
    CHECK(!router->isIsolated());
    world.run(600ms);
    CHECK(router->isIsolated());
    member.platform.isStoreDown = false;
    world.run(1500ms);
    CHECK(!router->isIsolated());
}

// Guards against ending a request with the next owner's refusal although the first owner may have stored it.
TEST(RequestRouter, ARequestThatMayHaveRunIsRepeatedAlsoWhenItIsRefused)
{
    auto &member = *world.members.at("m1");
    submit("a");
    world.run(3ms);
    member.host.setCandidate(false);
    world.run(1200ms); // longer than a request waits for an owner
    member.host.setCandidate(true);
    world.run(1s);
    CHECK(reply && reply->status == JobReply::Status::Done);
}

TEST_GROUP(Isolation)
{
    const Base::Instant start{1h};
    JobService::Isolation isolation{"z1", 600ms, 1200ms};
};

// Guards against instances of a zone that is cut off staying ready because they can reach each other. They
// accepted requests that none of them could store (cmavc-rota-grown: 153 callers of that zone in 6 seconds).
TEST(Isolation, AZoneThatReachesOnlyItselfIsIsolated)
{
    isolation.storeAnswered(start);
    isolation.peerAnswered("z1", false, start + 700ms);
    CHECK(isolation.needsProbe(start + 700ms));
    CHECK(!isolation.isIsolated(start + 1200ms));
    CHECK(isolation.isIsolated(start + 1201ms));
}

// During an outage of the store for all zones, no other member could serve callers either.
TEST(Isolation, AnotherZoneWithoutTheStoreCountsAsContact)
{
    isolation.storeAnswered(start);
    isolation.peerAnswered("z2", false, start + 1s);
    CHECK(!isolation.isIsolated(start + 2s));
}

TEST(Isolation, APeerOfTheOwnZoneWithTheStoreCountsAsContact)
{
    isolation.storeAnswered(start);
    isolation.peerAnswered("z1", true, start + 1s);
    CHECK(!isolation.isIsolated(start + 2s));
}

TEST_GROUP(SilentPeers)
{
    JobService::SilentPeers silentPeers;
    const Ini::Endpoint peer{"10.0.0.1", 1};
    const Ini::Endpoint other{"10.0.0.2", 1};
    const Base::Instant start{1h};
};

// Guards against each request to an unreachable peer waiting for its full timeout (cmavc-rota-grown scale-2:
// 95 callers of the zone that was cut off got no answer before their deadline).
TEST(SilentPeers, ASilentPeerGetsARequestNowAndThenOnly)
{
    silentPeers.sent(peer, start);
    CHECK(silentPeers.maySend(peer, start + 500ms));
    silentPeers.sent(peer, start + 500ms);
    CHECK(!silentPeers.maySend(peer, start + 700ms));
    CHECK(silentPeers.maySend(peer, start + 800ms));
    silentPeers.sent(peer, start + 800ms);
    CHECK(!silentPeers.maySend(peer, start + 900ms));
    CHECK(silentPeers.maySend(other, start + 900ms));
}

TEST(SilentPeers, APeerThatAnswersAgainIsAskedAgain)
{
    silentPeers.sent(peer, start);
    silentPeers.sent(peer, start + 600ms);
    CHECK(!silentPeers.maySend(peer, start + 700ms));
    silentPeers.answered(peer);
    CHECK(silentPeers.maySend(peer, start + 700ms));
    silentPeers.sent(peer, start + 700ms);
    CHECK(silentPeers.maySend(peer, start + 1200ms));
}

TEST_GROUP(RetryRules){};

TEST(RetryRules, ARefusalIsRepeatedOnlyWhereItsCallerCannotComeBack)
{
    using JobService::shouldRetryRefused;
    CHECK(!shouldRetryRefused(2s, 150ms, 500ms));
    CHECK(shouldRetryRefused(1100ms, 150ms, 500ms));
    CHECK(shouldRetryRefused(400ms, 150ms, 500ms));
    CHECK(!shouldRetryRefused(300ms, 150ms, 500ms));
}

TEST(RetryRules, AnUnansweredAttemptIsRepeatedWhileThereIsTime)
{
    CHECK(JobService::shouldRetryUnanswered(2s, 150ms));
    CHECK(!JobService::shouldRetryUnanswered(300ms, 150ms));
}
