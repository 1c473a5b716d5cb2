#include <platform/codec.h>
#include <platform/frontend.h>

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

using JobService::JobReply;
using JobService::JobRequest;

namespace
{

constexpr const char *JobBody = R"({"Spec":"x","Phases":[{"Count":2,"Cpu":500,"MemMb":100}]})";
constexpr const char *GangBody = R"({"Spec":"x","Phases":[{"Count":9,"Cpu":1000,"Gang":true}]})";
constexpr const char *JobPath = "/closed/00c0ffee00c0ffee";

} // namespace

TEST_GROUP(Frontend)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        config = *Platform::decodeConfig(
            R"({"Version":7,"Routes":[{"Name":"closed","Host":"h","PathPrefix":"/closed/","Service":"s"},)"
            R"({"Name":"open","Host":"h","PathPrefix":"/open/","Service":"s","Public":true}],)"
            R"("Services":[{"Name":"s"}],)"
            R"("Tenants":[{"Name":"a","ApiKeys":["key-a"],"Cap":{"Cpu":8000}},{"Name":"b","ApiKeys":["key-b"]}]})");
        layout.load("s", "0");
    }

    unsigned send(const std::string &method,
                  const std::string &path,
                  const std::vector<std::string> &keys,
                  const std::string &body = {})
    {
        Http::Request request{method, path, {{"Host", "h:80"}}, body};
        for (const std::string &it : keys) {
            request.fields.push_back({"x-api-key", it});
        }
        unsigned status = 0;
        frontend.handle(request, [&](const Http::Response &response) {
            status = response.status;
            retryAfter = std::string(response.field("Retry-After"));
        });
        return status;
    }

    JobService::FleetConfig config;
    JobService::ServiceLayout layout{2};
    Base::TimerService timers{Base::Instant{} + std::chrono::hours{1}};
    Telemetry::RequestMetrics metrics;
    std::vector<JobRequest> routed;
    Platform::Frontend frontend{
        config,
        layout,
        timers,
        metrics,
        [this](JobRequest request, Base::Duration, const Platform::Frontend::Reply &reply) {
            routed.push_back(std::move(request));
            reply({.status = JobReply::Status::Done});
        },
        [this](std::span<const JobService::ShardNumber> shards,
               const JobRequest &request,
               Base::Duration,
               const Platform::Frontend::Reply &reply) {
            askedShards.assign(shards.begin(), shards.end());
            routed.push_back(request);
            reply({.status = JobReply::Status::Done});
        },
        [this] { return isCurrent; },
        [this](const std::vector<std::string> &queue) {
            askedQueue = queue;
            return earlierServices;
        }};
    std::set<std::string> earlierServices;
    std::vector<std::string> askedQueue;
    std::vector<JobService::ShardNumber> askedShards;
    bool isCurrent = true;
    std::string retryAfter;
};

TEST(Frontend, RequestsWithoutAValidKeyAreRefusedAndGoNowhere)
{
    const std::vector<std::vector<std::string>> invalid{
        {}, {""}, {"key-c"}, {"key-a "}, {"KEY-A"}, {"key-a", "key-a"}, {std::string(300, 'k')}};
    for (const auto &keys : invalid) {
        CHECK_EQUAL(401, send("POST", JobPath, keys, JobBody));
        CHECK_EQUAL(401, send("GET", JobPath, keys));
        CHECK_EQUAL(401, send("DELETE", JobPath, keys));
        CHECK_EQUAL(401, send("GET", "/closed/", keys));
    }
    CHECK(routed.empty());
}

TEST(Frontend, AKeyNamesTheWorkspaceOfTheJob)
{
    CHECK_EQUAL(200, send("POST", JobPath, {"key-a"}, JobBody));
    STRCMP_EQUAL("a", routed.at(0).spec->workspace.c_str());
    CHECK_EQUAL(200, send("GET", JobPath, {"key-b"}));
    CHECK(routed.at(1).caller == (JobService::Caller{"b", {}}));
    CHECK_EQUAL(200, send("GET", "/closed/", {"key-b"}));
}

TEST(Frontend, PublicRoutesNeedNoKeyAndIgnoreOne)
{
    CHECK_EQUAL(200, send("POST", "/open/00c0ffee00c0ffee", {}, JobBody));
    CHECK_EQUAL(200, send("POST", "/open/00c0ffee00c0ffef", {"key-c"}, JobBody));
    CHECK_EQUAL(200, send("POST", "/open/00c0ffee00c0ffed", {"key-a"}, JobBody));
    for (const JobRequest &it : routed) {
        CHECK(it.spec->workspace.empty());
        CHECK(it.caller == (JobService::Caller{{}, "open"}));
    }
}

TEST(Frontend, AKeyThatWasTakenAwayIsRefusedByTheNextVersion)
{
    CHECK_EQUAL(200, send("GET", JobPath, {"key-a"}));
    config = *Platform::decodeConfig(
        R"({"Version":8,"Routes":[{"Name":"closed","Host":"h","PathPrefix":"/closed/","Service":"s"}],)"
        R"("Services":[{"Name":"s"}],"Tenants":[{"Name":"a","ApiKeys":["key-d"]}]})");
    CHECK_EQUAL(401, send("GET", JobPath, {"key-a"}));
    CHECK_EQUAL(200, send("GET", JobPath, {"key-d"}));
}

// Jobs that were accepted before the change wait on the shards of the service that the queue had then.
TEST(Frontend, PendingJobsOfAnEarlierServiceAreCounted)
{
    layout.load("t", "1");
    CHECK_EQUAL(200, send("GET", "/open/", {}));
    CHECK(askedShards == std::vector<JobService::ShardNumber>{0});
    CHECK(askedQueue == (std::vector<std::string>{"open", "h/open/"}));
    earlierServices = {"t"};
    CHECK_EQUAL(200, send("GET", "/open/", {}));
    CHECK(askedShards == (std::vector<JobService::ShardNumber>{0, 1}));
}

// It could never start.
TEST(Frontend, AGangThatExceedsTheQuotaIsRefused)
{
    CHECK_EQUAL(429, send("POST", JobPath, {"key-a"}, GangBody));
    CHECK(routed.empty());
    CHECK_EQUAL(200, send("POST", JobPath, {"key-b"}, GangBody));
}

TEST(Frontend, AFailedJobIsShownWithItsReason)
{
    const std::string text =
        Platform::encodeState(JobService::ReportedState::Failed, "a task failed too often");
    STRCMP_EQUAL(R"({"State":"failed","Reason":"a task failed too often"})", text.c_str());
    STRCMP_EQUAL(R"({"State":"running"})",
                 Platform::encodeState(JobService::ReportedState::Running, {}).c_str());
}

TEST(Frontend, WhatANewerVersionMayAllowIsNotRefusedForGood)
{
    CHECK_EQUAL(404, send("GET", "/new/00c0ffee00c0ffee", {"key-a"}));
    CHECK_EQUAL(401, send("GET", JobPath, {"key-new"}));
    isCurrent = false;
    CHECK_EQUAL(503, send("GET", "/new/00c0ffee00c0ffee", {"key-a"}));
    STRCMP_EQUAL("1", retryAfter.c_str());
    CHECK_EQUAL(503, send("GET", JobPath, {"key-new"}));
    STRCMP_EQUAL("1", retryAfter.c_str());
    CHECK_EQUAL(401, send("GET", JobPath, {}));
    CHECK_EQUAL(401, send("GET", JobPath, {"key-new", "key-a"}));
    CHECK_EQUAL(200, send("GET", JobPath, {"key-a"}));
}
