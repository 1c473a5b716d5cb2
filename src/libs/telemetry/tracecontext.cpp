#include "tracecontext.h"

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <iterator>
#include <span>

namespace Telemetry
{

namespace
{

// version "00", trace, span and flags, joined by hyphens
constexpr std::size_t TraceParentLength = 55;
constexpr std::size_t TracePosition = 3;
constexpr std::size_t SpanPosition = 36;
constexpr std::size_t FlagsPosition = 53;
constexpr std::uint8_t SampledFlag = 1;

bool isLowerHex(std::string_view text)
{
    return std::all_of(
        text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

template<typename Bytes>
bool decode(std::string_view text, Bytes &bytes)
{
    if (!isLowerHex(text)) {
        return false;
    }
    boost::algorithm::unhex(text.begin(), text.end(), bytes.begin());
    return std::any_of(bytes.begin(), bytes.end(), [](std::uint8_t it) { return it != 0; });
}

template<typename Bytes>
std::string encode(const Bytes &bytes)
{
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

template<typename Bytes>
void fill(Bytes &bytes, std::mt19937_64 &random)
{
    std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<std::uint8_t>(random()); });
}

} // namespace

std::optional<TraceContext> parseTraceParent(std::string_view text)
{
    if (text.size() != TraceParentLength || !text.starts_with("00-") || text[SpanPosition - 1] != '-'
        || text[FlagsPosition - 1] != '-') {
        return std::nullopt;
    }
    TraceContext context;
    std::array<std::uint8_t, 1> flags{};
    const std::string_view flagsText = text.substr(FlagsPosition);
    if (!isLowerHex(flagsText) || !decode(text.substr(TracePosition, 2 * context.trace.size()), context.trace)
        || !decode(text.substr(SpanPosition, 2 * context.span.size()), context.span)) {
        return std::nullopt;
    }
    decode(flagsText, flags);
    context.isSampled = (flags[0] & SampledFlag) != 0;
    return context;
}

std::string traceParent(const TraceContext &context)
{
    return "00-" + encode(context.trace) + '-' + encode(context.span) + (context.isSampled ? "-01" : "-00");
}

std::string hexadecimal(const TraceId &id)
{
    return encode(id);
}

std::string hexadecimal(const SpanId &id)
{
    return encode(id);
}

TraceIds::TraceIds(std::uint64_t seed, std::uint32_t sampledPerMille)
    : m_random(seed)
    , m_sampledPerMille(sampledPerMille)
{
}

TraceContext TraceIds::contextFor(std::string_view callersTraceParent)
{
    if (const auto context = parseTraceParent(callersTraceParent)) {
        return *context;
    }
    TraceContext context;
    fill(context.trace, m_random);
    context.isSampled = std::uniform_int_distribution<std::uint32_t>(0, 999)(m_random) < m_sampledPerMille;
    return context;
}

SpanId TraceIds::newSpan()
{
    SpanId id{};
    fill(id, m_random);
    return id;
}

} // namespace Telemetry
