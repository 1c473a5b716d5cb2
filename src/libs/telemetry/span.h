#pragma once

#include "tracecontext.h"

#include <base/instant.h>
#include <base/ring.h>
#include <base/verdict.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Telemetry
{

struct Attribute {
    std::string key;
    std::string value;
};

enum class SpanKind { Internal, Server, Client };

/// One hop of a request.
struct Span {
    TraceId trace{};
    SpanId id{};
    SpanId parent{}; ///< all zero: a trace begins here
    std::string name;
    SpanKind kind = SpanKind::Internal;
    Base::Instant start;
    Base::Instant end;
    bool isError = false;
    std::vector<Attribute> attributes;
};

/// The end of one request, for the metrics.
struct RequestDone {
    std::string service;
    unsigned status = 0;
    std::optional<Base::Verdict> verdict; ///< of a failure
    Base::Duration latency{};
};

/// What an event loop thread reports to the telemetry thread. Spans are behind a pointer to keep the ring
/// small.
using Event = std::variant<RequestDone, std::unique_ptr<Span>>;

/// The way of one event loop thread to the telemetry thread. An event that finds the ring full is dropped and
/// counted.
class EventSink
{
public:
    explicit EventSink(std::size_t capacity);

    void report(Event &&event);

    /// For the telemetry thread.
    template<typename Receive>
    void drain(Receive receive)
    {
        m_ring.drain(receive);
    }
    std::uint64_t dropped() const;

private:
    Base::Ring<Event> m_ring;
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace Telemetry
