#include <telemetry/spanencoder.h>

#include <boost/json/parse.hpp>

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace
{

namespace json = boost::json;

Telemetry::Span span()
{
    Telemetry::Span span;
    span.trace.fill(0xab);
    span.id.fill(0x01);
    span.name = "request";
    span.kind = Telemetry::SpanKind::Server;
    span.start = Base::instantAt(1ms);
    span.end = Base::instantAt(3ms);
    span.attributes = {{"service", "signs \"and\" letters\n"}};
    return span;
}

json::value encoded(const std::vector<Telemetry::Span> &spans)
{
    return json::parse(Telemetry::encodeSpans(spans, "entry-1", 1s));
}

std::string text(const json::value &value)
{
    return std::string(value.as_string());
}

} // namespace

TEST_GROUP(SpanEncoder){};

// Names and types are those of the JSON encoding in the OTLP specification: ids in hexadecimal digits,
// 64-bit numbers as text, enumerators as numbers.
TEST(SpanEncoder, WritesWhatOtlpAsksFor)
{
    const json::value all = encoded({span()});
    const json::value &it = all.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").at(0);
    STRCMP_EQUAL("abababababababababababababababab", text(it.at("traceId")).c_str());
    STRCMP_EQUAL("0101010101010101", text(it.at("spanId")).c_str());
    STRCMP_EQUAL("request", text(it.at("name")).c_str());
    LONGS_EQUAL(2, it.at("kind").as_int64());
    STRCMP_EQUAL("1001000000", text(it.at("startTimeUnixNano")).c_str());
    STRCMP_EQUAL("1003000000", text(it.at("endTimeUnixNano")).c_str());
    STRCMP_EQUAL("service", text(it.at("attributes").at(0).at("key")).c_str());
    STRCMP_EQUAL("signs \"and\" letters\n",
                 text(it.at("attributes").at(0).at("value").at("stringValue")).c_str());
}

TEST(SpanEncoder, NamesTheInstance)
{
    const json::value all = encoded({});
    const json::value &attributes = all.at("resourceSpans").at(0).at("resource").at("attributes");
    STRCMP_EQUAL("service.name", text(attributes.at(0).at("key")).c_str());
    STRCMP_EQUAL("rhubarbcrankd", text(attributes.at(0).at("value").at("stringValue")).c_str());
    STRCMP_EQUAL("service.instance.id", text(attributes.at(1).at("key")).c_str());
    STRCMP_EQUAL("entry-1", text(attributes.at(1).at("value").at("stringValue")).c_str());
}

TEST(SpanEncoder, ParentAndErrorAreThereWhenTheyAre)
{
    Telemetry::Span child = span();
    child.parent.fill(0x02);
    child.isError = true;
    const json::value all = encoded({span(), child});
    const json::value &spans = all.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans");
    CHECK_FALSE(spans.at(0).as_object().contains("parentSpanId"));
    CHECK_FALSE(spans.at(0).as_object().contains("status"));
    STRCMP_EQUAL("0202020202020202", text(spans.at(1).at("parentSpanId")).c_str());
    LONGS_EQUAL(2, spans.at(1).at("status").at("code").as_int64());
}
