#include <jobservice/fleetconfig.h>
#include <jobservice/ownership.h>
#include <jobservice/peerprotocol.h>
#include <jobservice/servicelayout.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using JobService::Ownership;

namespace
{

constexpr Base::Instant Start{1h};

} // namespace

TEST_GROUP(Ownership){};

TEST(Ownership, AShardKeepsTheEpochOfTheGenerationThatBroughtIt)
{
    Ownership ownership(1500ms);
    CHECK(ownership.granted({3, {0, 1}}, Start).gained.size() == 2);
    const auto change = ownership.granted({5, {1, 2}}, Start + 400ms);
    CHECK(change.lost == std::vector<JobService::ShardNumber>{0});
    CHECK(change.gained == std::vector<JobService::ShardNumber>{2});
    LONGS_EQUAL(3, ownership.epoch(1));
    LONGS_EQUAL(5, ownership.epoch(2));
    LONGS_EQUAL(0, ownership.epoch(0));
}

// In the gap another member may have owned the shard, with an epoch between the two.
TEST(Ownership, AfterALapseAShardIsGainedAnew)
{
    Ownership ownership(1500ms);
    ownership.granted({3, {0}}, Start);
    const auto change = ownership.granted({5, {0}}, Start + 2s);
    LONGS_EQUAL(1, change.lost.size());
    LONGS_EQUAL(1, change.gained.size());
    LONGS_EQUAL(5, ownership.epoch(0));
}

TEST(Ownership, ALapseWithoutAnyChangeKeepsTheShard)
{
    Ownership ownership(1500ms);
    ownership.granted({3, {0}}, Start);
    CHECK(!ownership.isValid(Start + 1500ms));
    CHECK(ownership.granted({3, {0}}, Start + 2s).lost.empty());
    CHECK(ownership.isValid(Start + 3s));
}

TEST(Ownership, TimeThatTheClockDidNotCountEndsAMembership)
{
    Ownership ownership(1500ms);
    ownership.granted({3, {0}}, Start);
    ownership.suspended(1s);
    CHECK(!ownership.isValid(Start + 600ms));
}

TEST(Ownership, MembersNumberNewServicesAlike)
{
    JobService::ServiceLayout layout(24);
    layout.load("b", "0");
    const std::vector<std::string> services{"c", "a", "b"};
    const auto records = layout.missing(services);
    LONGS_EQUAL(2, records.size());
    STRCMP_EQUAL("a", records[0].key.c_str());
    STRCMP_EQUAL("1", records[0].value.c_str());
    STRCMP_EQUAL("2", records[1].value.c_str());
    CHECK(layout.shardOf("b") == 0U);
    CHECK(!layout.shardOf("c"));
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

TEST(Ownership, PeersReadWhatPeersWrote)
{
    JobService::JobRequest request{7, JobService::Operation::Cancel, std::nullopt, "a"};
    const auto read = JobService::decodeRequest(JobService::encode(request));
    CHECK(read && read->shard == 7 && read->operation == JobService::Operation::Cancel
          && read->subject == "a");
    JobService::JobReply reply{
        JobService::JobReply::Status::Refused, JobService::ShownState::Queued, 3, 500ms};
    const auto answer = JobService::decodeReply(JobService::encode(reply));
    CHECK(answer && answer->status == reply.status && answer->pending == 3 && answer->retryAfter == 500ms);
    CHECK(!JobService::decodeRequest("{}"));
    CHECK(!JobService::decodeReply("nothing"));
}
