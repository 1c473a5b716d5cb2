#include "spanencoder.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace json = boost::json;

namespace Telemetry
{

namespace
{

constexpr int StatusError = 2;

// OTLP numbers its kinds from 1: internal, server, client.
int kindNumber(SpanKind kind)
{
    return static_cast<int>(kind) + 1;
}

std::string unixNanos(Base::Instant instant, Base::Duration wallClockOffset)
{
    const auto sinceEpoch = instant.time_since_epoch() + wallClockOffset;
    return fmt::format("{}", std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

json::value attribute(std::string_view key, std::string_view value)
{
    return json::object{
        {"key", json::string_view(key.data(), key.size())},
        {"value", json::object{{"stringValue", json::string_view(value.data(), value.size())}}}};
}

json::object encode(const Span &span, Base::Duration wallClockOffset)
{
    json::object object{{"traceId", hexadecimal(span.trace)},
                        {"spanId", hexadecimal(span.id)},
                        {"name", span.name},
                        {"kind", kindNumber(span.kind)},
                        {"startTimeUnixNano", unixNanos(span.start, wallClockOffset)},
                        {"endTimeUnixNano", unixNanos(span.end, wallClockOffset)}};
    if (std::any_of(span.parent.begin(), span.parent.end(), [](std::uint8_t it) { return it != 0; })) {
        object["parentSpanId"] = hexadecimal(span.parent);
    }
    if (span.isError) {
        object["status"] = json::object{{"code", StatusError}};
    }
    json::array attributes;
    for (const auto &it : span.attributes) {
        attributes.push_back(attribute(it.key, it.value));
    }
    object["attributes"] = std::move(attributes);
    return object;
}

} // namespace

std::string
encodeSpans(std::span<const Span> spans, std::string_view instanceName, Base::Duration wallClockOffset)
{
    json::array encoded;
    for (const auto &it : spans) {
        encoded.push_back(encode(it, wallClockOffset));
    }
    const json::array resourceAttributes{attribute("service.name", "rhubarbcrankd"),
                                         attribute("service.instance.id", instanceName)};
    const json::object scopeSpans{{"scope", json::object{{"name", "rhubarbcrank"}}},
                                  {"spans", std::move(encoded)}};
    const json::object resourceSpans{{"resource", json::object{{"attributes", resourceAttributes}}},
                                     {"scopeSpans", json::array{scopeSpans}}};
    return json::serialize(json::object{{"resourceSpans", json::array{resourceSpans}}});
}

} // namespace Telemetry
