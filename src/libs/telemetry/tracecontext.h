#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace Telemetry
{

using TraceId = std::array<std::uint8_t, 16>;
using SpanId = std::array<std::uint8_t, 8>;

/// Where a span belongs, as W3C Trace Context hands it on.
struct TraceContext {
    TraceId trace{};
    SpanId span{};
    bool isSampled = false;

    bool operator==(const TraceContext &) const = default;
};

/// Reads a `traceparent` header value; nothing for one that is malformed.
std::optional<TraceContext> parseTraceParent(std::string_view text);

/// The `traceparent` header value of a context.
std::string traceParent(const TraceContext &context);

/// Lower-case hexadecimal digits.
std::string hexadecimal(const TraceId &id);
std::string hexadecimal(const SpanId &id);

/// Makes ids and decides which new traces are sampled; for one thread.
class TraceIds
{
public:
    /// `sampledPerMille` of the traces that begin here are sampled.
    TraceIds(std::uint64_t seed, std::uint32_t sampledPerMille);

    /// The context of a request: below the caller's when it brought a valid one, else a new trace.
    TraceContext contextFor(std::string_view callersTraceParent);
    SpanId newSpan();

private:
    std::mt19937_64 m_random;
    std::uint32_t m_sampledPerMille;
};

} // namespace Telemetry
