#include "collector.h"

#include <runtime/eventloopthread.h>
#include <telemetry/telemetrythread.h>

#include <boost/json/parse.hpp>

#include <fmt/format.h>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace
{

namespace json = boost::json;

std::vector<std::string> namesIn(const Collector::Post &post)
{
    std::vector<std::string> names;
    const json::value all = json::parse(post.body);
    for (const auto &it : all.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").as_array()) {
        names.emplace_back(it.at("name").as_string());
    }
    return names;
}

} // namespace

TEST_GROUP(SpanExport)
{
    static constexpr std::size_t SpansKept = 3;

    Collector collector;
    Telemetry::EventSink sink{64};
    Runtime::EventLoopThread eventLoop{"telemetry"};
    std::unique_ptr<Telemetry::TelemetryThread> telemetry;

    void setup() override
    {
        Telemetry::TelemetryLimits limits;
        limits.tracesAddress = "127.0.0.1";
        limits.tracesPort = collector.port();
        limits.instance = "entry-1";
        limits.exportPeriod = 20ms;
        limits.spansKept = SpansKept;
        telemetry = std::make_unique<Telemetry::TelemetryThread>(eventLoop, limits);
        telemetry->addSink(sink);
        telemetry->start();
    }

    void teardown() override
    {
        eventLoop.stop();
    }

    void report(const std::string &name)
    {
        auto span = std::make_unique<Telemetry::Span>();
        span->trace.fill(1);
        span->id.fill(2);
        span->name = name;
        sink.report(std::move(span));
    }

    bool hasMetric(const std::string &line) const
    {
        return ask(telemetry->port(), "GET", "/metrics").body.find(line + '\n') != std::string::npos;
    }
};

TEST(SpanExport, PostsEachSpanOnce)
{
    eventLoop.start();
    report("first");
    CHECK(eventually([this] { return hasMetric("rhubarbcrank_spans_exported_total 1"); }));
    report("second");
    CHECK(eventually([this] { return hasMetric("rhubarbcrank_spans_exported_total 2"); }));
    const auto posts = collector.posts();
    LONGS_EQUAL(2, posts.size());
    STRCMP_EQUAL("/v1/traces", posts[0].path.c_str());
    STRCMP_EQUAL("application/json", posts[0].contentType.c_str());
    CHECK(std::vector<std::string>{"first"} == namesIn(posts[0]));
    CHECK(std::vector<std::string>{"second"} == namesIn(posts[1]));
}

TEST(SpanExport, WhatWasRefusedIsPostedAgain)
{
    collector.answerWith(503);
    eventLoop.start();
    report("kept");
    CHECK(eventually([this] { return collector.posts().size() >= 2; }));
    CHECK(hasMetric("rhubarbcrank_spans_exported_total 0"));
    collector.answerWith(200);
    CHECK(eventually([this] { return hasMetric("rhubarbcrank_spans_exported_total 1"); }));
    CHECK(std::vector<std::string>{"kept"} == namesIn(collector.posts().back()));
}

TEST(SpanExport, TheOldestAreDroppedWhenTooManyWait)
{
    for (std::size_t n = 0; n < 2 * SpansKept; ++n) {
        report(fmt::format("span-{}", n));
    }
    eventLoop.start();
    CHECK(eventually([this] { return hasMetric("rhubarbcrank_spans_exported_total 3"); }));
    CHECK(hasMetric("rhubarbcrank_spans_dropped_total 3"));
    CHECK((std::vector<std::string>{"span-3", "span-4", "span-5"} == namesIn(collector.posts().front())));
}
