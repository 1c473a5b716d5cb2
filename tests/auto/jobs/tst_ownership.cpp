#include <jobservice/candidacy.h>
#include <jobservice/fleetconfig.h>
#include <jobservice/membershiptiming.h>
#include <jobservice/ownership.h>
#include <jobservice/peerprotocol.h>
#include <jobservice/servicelayout.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using JobService::Ownership;

namespace
{

constexpr Base::Instant Start{1h};
constexpr auto Lifetime = 1500ms;

} // namespace

TEST_GROUP(Ownership){};

TEST(Ownership, AShardKeepsTheEpochOfTheGenerationThatBroughtIt)
{
    Ownership ownership;
    CHECK(ownership.granted({3, {0, 1}}, Start, Lifetime).gained.size() == 2);
    const auto change = ownership.granted({5, {1, 2}}, Start + 400ms, Lifetime);
    CHECK(change.lost == std::vector<JobService::ShardNumber>{0});
    CHECK(change.gained == std::vector<JobService::ShardNumber>{2});
    LONGS_EQUAL(3, ownership.epoch(1));
    LONGS_EQUAL(5, ownership.epoch(2));
    LONGS_EQUAL(0, ownership.epoch(0));
}

// In the meantime another member may have owned the shard, with an epoch between the two.
TEST(Ownership, AfterALapseAShardIsGainedAnew)
{
    Ownership ownership;
    ownership.granted({3, {0}}, Start, Lifetime);
    const auto change = ownership.granted({5, {0}}, Start + 2s, Lifetime);
    LONGS_EQUAL(1, change.lost.size());
    LONGS_EQUAL(1, change.gained.size());
    LONGS_EQUAL(5, ownership.epoch(0));
}

TEST(Ownership, ALapseWithoutAnyChangeKeepsTheShard)
{
    Ownership ownership;
    ownership.granted({3, {0}}, Start, Lifetime);
    CHECK(!ownership.isValid(Start + 1500ms));
    CHECK(ownership.granted({3, {0}}, Start + 2s, Lifetime).lost.empty());
    CHECK(ownership.isValid(Start + 3s));
}

TEST(Ownership, TimeThatTheClockDidNotCountEndsAMembership)
{
    Ownership ownership;
    ownership.granted({3, {0}}, Start, Lifetime);
    ownership.shortenBy(1s);
    CHECK(!ownership.isValid(Start + 600ms));
}

TEST(Ownership, MembersAssignNewServicesTheSameShards)
{
    JobService::ServiceLayout layout(24);
    layout.load("b", "0");
    const std::vector<JobService::ServiceSize> services{{"c", 60}, {"a", 8}, {"b", 500}};
    const auto records = layout.missing(services);
    LONGS_EQUAL(2, records.size());
    STRCMP_EQUAL("a", records[0].key.c_str());
    STRCMP_EQUAL("1", records[0].value.c_str());
    STRCMP_EQUAL("2", records[1].value.c_str());
    CHECK(layout.homeShardOf("b", "0123456789abcdef") == 0U);
    CHECK(!layout.homeShardOf("c", "0123456789abcdef"));
}

TEST(Ownership, LargeServicesAreDividedIntoCellsOfConsecutiveShards)
{
    JobService::ServiceLayout layout(24);
    const std::vector<JobService::ServiceSize> services{{"a", 195}, {"b", 266}, {"c", 85}};
    for (const auto &it : layout.missing(services)) {
        layout.load(it.key, it.value);
    }
    LONGS_EQUAL(3, layout.cellsOf("a").size());
    LONGS_EQUAL(4, layout.cellsOf("b").size());
    LONGS_EQUAL(1, layout.cellsOf("c").size());
    LONGS_EQUAL(0, layout.cellsOf("a")[0]);
    LONGS_EQUAL(6, layout.cellsOf("b")[3]);
    LONGS_EQUAL(8, layout.size());
}

TEST(Ownership, CellsLeaveTheShardOfTheMachinesAlone)
{
    JobService::ServiceLayout layout(24);
    std::vector<JobService::ServiceSize> services;
    services.reserve(5);
    for (int n = 0; n < 5; ++n) {
        services.push_back({"s" + std::to_string(n), 600});
    }
    for (const auto &it : layout.missing(services)) {
        layout.load(it.key, it.value);
        CHECK(!layout.cellsOf(it.key).empty());
    }
    CHECK(layout.size() <= 23);
    CHECK(!layout.hasService(23));
}

TEST(Ownership, CellsAreWholeRacksOfAboutTheSameNumber)
{
    JobService::ServiceLayout layout(24);
    layout.load("a", "0,1,2,3");
    std::map<JobService::ShardNumber, int> racks;
    for (int zone = 1; zone <= 5; ++zone) {
        for (int rack = 1; rack <= 6; ++rack) {
            Jobs::WorkerInfo worker;
            worker.service = "a";
            worker.rack = "r" + std::to_string(zone) + "-" + std::to_string(rack);
            worker.id = worker.rack + "/0";
            ++racks[*layout.shardOf(worker)];
            LONGS_EQUAL(layout.cellsOf("a")[layout.cellOf("a", worker.rack)], *layout.shardOf(worker));
        }
    }
    for (const auto &[shard, count] : racks) {
        CHECK(count >= 6 && count <= 9);
    }
}

// Each cell with long-running tasks has to keep workers for them, even while its pool is idle.
TEST(Ownership, LongRunningJobsAreKeptByTheFirstCell)
{
    JobService::ServiceLayout layout(24);
    layout.load("a", "5,6");
    Jobs::JobSpec job;
    job.queue.service = "a";
    job.stages.resize(1);
    LONGS_EQUAL(6, JobService::chooseShard(job, 6, layout, {}));
    job.stages[0].isLongRunning = true;
    LONGS_EQUAL(5, JobService::chooseShard(job, 6, layout, {}));
}

TEST(Ownership, AJobIsKeptByACellThatCouldRunItNearItsData)
{
    JobService::ServiceLayout layout(24);
    layout.load("a", "0,1");
    std::vector<Jobs::WorkerInfo> workers(2);
    for (std::size_t n = 0; n < 2; ++n) {
        workers[n].service = "a";
        workers[n].rack = "r" + std::to_string(n);
        workers[n].labels = {n == 0 ? "small" : "large", workers[n].rack};
        workers[n].capacity = {n == 0 ? 1000 : 8000, 1000, 0};
    }
    Jobs::JobSpec job;
    job.queue.service = "a";
    job.stages.resize(1);
    job.stages[0].size = {1000, 100, 0};
    LONGS_EQUAL(0, JobService::chooseShard(job, 0, layout, workers));
    job.stages[0].dataRack = "r1";
    LONGS_EQUAL(1, JobService::chooseShard(job, 0, layout, workers));
    job.stages[0].dataRack = "elsewhere";
    LONGS_EQUAL(0, JobService::chooseShard(job, 0, layout, workers));
    job.stages[0].size.milliCores = 4000;
    LONGS_EQUAL(1, JobService::chooseShard(job, 0, layout, workers));
    job.stages[0].requiredLabel = "none";
    LONGS_EQUAL(0, JobService::chooseShard(job, 0, layout, workers));
}

TEST(Ownership, TheLongestPrefixOfTheHostWins)
{
    JobService::FleetConfig config;
    config.routes = {{"h", "/a/", {}}, {"h", "/a/b/", {}}, {"g", "/", {}}};
    config.index();
    STRCMP_EQUAL("/a/b/", config.find("h", "/a/b/c")->prefix.c_str());
    STRCMP_EQUAL("/a/", config.find("h", "/a/c")->prefix.c_str());
    CHECK(config.find("h", "/c") == nullptr);
    CHECK(config.find("x", "/a/") == nullptr);
}

TEST(Ownership, PeerMessagesAreDecodedAsEncoded)
{
    JobService::JobRequest request{7, JobService::Operation::Cancel, std::nullopt, "a"};
    const auto read = JobService::decodeRequest(JobService::encode(request));
    CHECK(read && read->shard == 7 && read->operation == JobService::Operation::Cancel
          && read->subject == "a");
    JobService::JobReply reply{
        JobService::JobReply::Status::Refused, JobService::ReportedState::Queued, 3, 500ms};
    const auto answer = JobService::decodeReply(JobService::encode(reply));
    CHECK(answer && answer->status == reply.status && answer->pending == 3 && answer->retryAfter == 500ms);
    CHECK(!JobService::decodeRequest("{}"));
    CHECK(!JobService::decodeReply("nothing"));
}

TEST_GROUP(Candidacy){};

namespace
{

std::vector<JobService::ShardOwner> ownersNamed(std::initializer_list<const char *> names)
{
    std::vector<JobService::ShardOwner> owners;
    for (const char *it : names) {
        owners.push_back({static_cast<JobService::ShardNumber>(owners.size()), it});
    }
    return owners;
}

} // namespace

TEST(Candidacy, TheScarcerOfProcessorAndLinkCounts)
{
    LONGS_EQUAL(250, JobService::strengthOf(0.25, 1, 1000));
    LONGS_EQUAL(120, JobService::strengthOf(0.12, 1, 10));
    LONGS_EQUAL(40, JobService::strengthOf(0.5, 1, 2));
}

TEST(Candidacy, ANameIsReadBack)
{
    const auto name = JobService::memberNameFrom("10.0.0.1:7060/front-1/120/1778976821000");
    STRCMP_EQUAL("10.0.0.1:7060/front-1/120", name.identity.c_str());
    LONGS_EQUAL(120, name.strength);
    CHECK(name.start == 1778976821000U);
    STRCMP_EQUAL("10.0.0.1:7060/front-1/120/1778976821000", toString(name).c_str());
    LONGS_EQUAL(0, JobService::memberNameFrom("").strength);
}

// Guards against weak owners. A machine with 0.12 cores and 2 Mbit/s owned a service of 85 workers and
// applied a configuration more than 3 s late (CONFIG on kapo-releases-grown scale-1 and trouble-1).
TEST(Candidacy, AWeakMemberLeavesShardsToStrongerOnes)
{
    const Base::Instant start{1h};
    JobService::Candidacy weak(JobService::memberNameFrom("w:1/w/120/1"), start);
    const auto strong = ownersNamed({"a:1/x/500/1", "b:1/y/500/1", "c:1/z/500/1", "a:1/x/500/1"});
    const auto few = ownersNamed({"a:1/x/500/1", "b:1/y/500/1", ""});
    CHECK(!weak.isCandidate());
    weak.updateOwners({}, {}, 12, start + 1s);
    CHECK(!weak.isCandidate()); // stronger members may still be starting
    weak.updateOwners(strong, {}, 12, start + 3s);
    CHECK(!weak.isCandidate());
    for (auto at = 5s; at <= 9s; at += 1s) {
        weak.updateOwners(few, {}, 12, start + at);
    }
    CHECK(weak.isCandidate());
    weak.updateOwners(strong, {}, 12, start + 10s);
    CHECK(!weak.isCandidate());
    weak.updateOwners(ownersNamed({"", ""}), {}, 12, start + 12s);
    weak.updateOwners(ownersNamed({"", ""}), {}, 12, start + 13s);
    CHECK(weak.isCandidate()); // the shards have no owner
}

// Guards against weak members joining because of a short gap. The store rejected a third of the members and
// took their shards away. For a moment few strong members were listed, so 130 machines of 0.12 cores joined
// at once and owned cells for the rest of the day (plaquewright-prod-large trouble-1).
TEST(Candidacy, AShortLackOfStrongOwnersChangesNothing)
{
    const Base::Instant start{1h};
    JobService::Candidacy weak(JobService::memberNameFrom("w:1/w/120/1"), start);
    const auto strong = ownersNamed({"a:1/x/500/1", "b:1/y/500/1", "c:1/z/500/1"});
    weak.updateOwners(strong, {}, 12, start + 3s);
    weak.updateOwners(ownersNamed({"a:1/x/500/1", "", ""}), {}, 12, start + 4s);
    CHECK(!weak.isCandidate());
    weak.updateOwners(ownersNamed({"a:1/x/500/1", "b:1/y/500/1", ""}), {}, 12, start + 5s);
    weak.updateOwners(strong, {}, 12, start + 6s);
    weak.updateOwners(ownersNamed({"", "", ""}), {}, 12, start + 7s);
    CHECK(!weak.isCandidate());
}

// While weak members own shards, few strong members do, and only owners are listed.
TEST(Candidacy, AWeakOwnerLeavesWhenEnoughStrongMembersAreReady)
{
    const Base::Instant start{1h};
    JobService::Candidacy weak(JobService::memberNameFrom("w:1/w/120/1"), start);
    const auto mixed = ownersNamed({"w:1/w/120/1", "v:1/v/120/1", "a:1/x/500/1"});
    weak.updateOwners(ownersNamed({""}), {}, 12, start + 3s);
    weak.updateOwners(ownersNamed({""}), {}, 12, start + 4s);
    CHECK(weak.isCandidate());
    weak.updateOwners(mixed, {}, 12, start + 5s);
    CHECK(weak.isCandidate());
    CHECK(weak.needsMoreStrongMembers());
    const std::vector<std::string> ready{"a:1/x/500", "b:1/y/500", "c:1/z/500"};
    weak.updateOwners(mixed, ready, 12, start + 6s);
    CHECK(!weak.isCandidate());
}

TEST(Candidacy, AWeakMemberStaysOutWhileStrongOnesAreReady)
{
    const Base::Instant start{1h};
    JobService::Candidacy weak(JobService::memberNameFrom("w:1/w/120/1"), start);
    const std::vector<std::string> ready{"a:1/x/500", "b:1/y/500", "c:1/z/500"};
    for (auto at = 3s; at <= 12s; at += 1s) {
        weak.updateOwners(ownersNamed({""}), ready, 12, start + at);
    }
    CHECK(!weak.isCandidate());
}

TEST(Candidacy, MembersOfOneStrengthAllOwn)
{
    const Base::Instant start{1h};
    JobService::Candidacy member(JobService::memberNameFrom("m:1/m/250/1"), start);
    CHECK(member.isCandidate());
    member.updateOwners(ownersNamed({"a:1/x/250/1", "b:1/y/300/1", "c:1/z/250/1"}), {}, 12, start + 5s);
    CHECK(member.isCandidate());
}

TEST_GROUP(MembershipTiming){};

// Guards against memberships that last longer than necessary. They lasted 1.5 s however fast the store
// answered, so the shards of a killed owner had no owner for that long (cmavc-rota trouble-3: 50 callers got
// no answer after the owner of a surging service was killed).
TEST(MembershipTiming, AMembershipIsAsShortAsTheStoreAllowsWhileItAnswersSoon)
{
    JobService::MembershipTiming timing(1s);
    for (int n = 0; n < 20; ++n) {
        timing.renewalAnswered(9ms);
    }
    CHECK(timing.lifetime() == 1s);
    CHECK(timing.renewalInterval() == 100ms);
    CHECK(timing.renewalInterval() + 2 * timing.renewalTimeout()
          < timing.lifetime()); // two answers may be lost
}

TEST(MembershipTiming, ASlowStoreMakesMembershipsLonger)
{
    JobService::MembershipTiming timing(1s);
    timing.renewalAnswered(240ms);
    CHECK(timing.lifetime() == 1500ms);
    CHECK(timing.renewalTimeout() == 600ms);
    for (int n = 0; n < 80; ++n) {
        timing.renewalAnswered(9ms);
    }
    CHECK(timing.lifetime() == 1s);
}

TEST(MembershipTiming, LostAnswersMakeMembershipsLonger)
{
    JobService::MembershipTiming timing(1s);
    timing.renewalAnswered(9ms);
    timing.renewalMissed();
    CHECK(timing.lifetime() == 1500ms);
}
