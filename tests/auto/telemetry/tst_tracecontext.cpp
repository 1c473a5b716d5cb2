#include <telemetry/tracecontext.h>

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

namespace
{

// The example of W3C Trace Context.
const std::string Sampled = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

} // namespace

TEST_GROUP(TraceContext){};

TEST(TraceContext, IsReadAndWrittenAlike)
{
    const auto context = Telemetry::parseTraceParent(Sampled);
    CHECK(context.has_value());
    CHECK(context->isSampled);
    STRCMP_EQUAL("4bf92f3577b34da6a3ce929d0e0e4736", Telemetry::hexadecimal(context->trace).c_str());
    STRCMP_EQUAL("00f067aa0ba902b7", Telemetry::hexadecimal(context->span).c_str());
    STRCMP_EQUAL(Sampled.c_str(), Telemetry::traceParent(*context).c_str());
}

TEST(TraceContext, OnlyTheLastFlagSaysSampled)
{
    const std::string start = Sampled.substr(0, Sampled.size() - 2);
    CHECK_FALSE(Telemetry::parseTraceParent(start + "00")->isSampled);
    CHECK_FALSE(Telemetry::parseTraceParent(start + "fe")->isSampled);
    CHECK(Telemetry::parseTraceParent(start + "ff")->isSampled);
}

TEST(TraceContext, MalformedOnesAreRefused)
{
    const std::string zeroTrace = "00-00000000000000000000000000000000-00f067aa0ba902b7-01";
    const std::string zeroSpan = "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01";
    const std::string upperCase = "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01";
    for (const std::string &it :
         {std::string(), zeroTrace, zeroSpan, upperCase, Sampled + "-", Sampled + "0"}) {
        CHECK_FALSE(Telemetry::parseTraceParent(it));
    }
}

TEST(TraceContext, NoPrefixIsOne)
{
    for (std::size_t n = 0; n < Sampled.size(); ++n) {
        CHECK_FALSE(Telemetry::parseTraceParent(Sampled.substr(0, n)));
    }
}

TEST(TraceContext, EveryCharacterCounts)
{
    for (std::size_t n = 0; n < Sampled.size(); ++n) {
        std::string spoiled = Sampled;
        spoiled[n] = 'x';
        CHECK_FALSE(Telemetry::parseTraceParent(spoiled));
    }
}

TEST(TraceContext, AValidCallersContextIsTakenOver)
{
    Telemetry::TraceIds ids(1, 0);
    CHECK(*Telemetry::parseTraceParent(Sampled) == ids.contextFor(Sampled));
}

TEST(TraceContext, OtherwiseATraceBegins)
{
    Telemetry::TraceIds never(1, 0);
    Telemetry::TraceIds always(1, 1000);
    const auto first = never.contextFor("rhubarb");
    const auto second = never.contextFor({});
    CHECK(first.trace != second.trace);
    CHECK(first.span == Telemetry::SpanId{});
    CHECK_FALSE(first.isSampled);
    CHECK(always.contextFor({}).isSampled);
    CHECK(never.newSpan() != never.newSpan());
}
