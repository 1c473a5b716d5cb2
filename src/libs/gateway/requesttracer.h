#pragma once

#include <base/instant.h>
#include <base/verdict.h>
#include <telemetry/span.h>
#include <telemetry/tracecontext.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway::Internal
{

/// What is kept of a request's trace while it is on its way.
struct RequestTrace {
    Telemetry::TraceContext context; ///< the caller's span, or a new trace
    Telemetry::SpanId request{};
    Telemetry::SpanId hop{}; ///< of the attempt under way
    Base::Instant receivedAt;
    Base::Instant hopStartedAt; ///< of the wait or the attempt under way
};

/// Makes a span for each hop of sampled requests, and counts every request.
class RequestTracer
{
public:
    RequestTracer(std::uint64_t seed, std::uint32_t sampledPerMille);

    /// Without a sink nothing is reported.
    void setSink(Telemetry::EventSink *sink);

    RequestTrace begin(std::string_view callerTraceParent, Base::Instant receivedAt);

    /// Ends the wait; returns the `traceparent` for the target.
    std::string attemptStarted(RequestTrace &trace, Base::Instant now);
    void
    attemptEnded(RequestTrace &trace, std::string_view instance, std::string_view outcome, Base::Instant now);

    /// Ends a wait for the record of idempotency keys.
    void claimEnded(RequestTrace &trace, std::string_view outcome, Base::Instant now);
    void
    ended(const RequestTrace &trace, Telemetry::RequestDone done, std::string_view reason, Base::Instant now);

private:
    struct Hop {
        std::string_view name;
        Telemetry::SpanKind kind = Telemetry::SpanKind::Internal;
        Telemetry::SpanId id{};
    };
    void report(const RequestTrace &trace,
                const Hop &hop,
                std::vector<Telemetry::Attribute> attributes,
                Base::Instant now);

    Telemetry::TraceIds m_ids;
    Telemetry::EventSink *m_sink = nullptr;
};

} // namespace Gateway::Internal
