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

/// Trace state of a request in progress.
struct RequestTrace {
    Telemetry::TraceContext context; ///< with the caller's span as parent, or of a new trace
    Telemetry::SpanId request{};
    Telemetry::SpanId hop{}; ///< of the current attempt
    Base::Instant receivedAt;
    Base::Instant hopStartedAt; ///< of the current wait or attempt
};

/// Reports a span for each hop of a sampled request, and the outcome of every request.
///
/// A hop is a wait in the queue, a wait for the claim of an idempotency key, or an attempt.
class RequestTracer
{
public:
    RequestTracer(std::uint64_t seed, std::uint32_t sampledPerMille);

    /// Sets the sink of the reports. Without one nothing is reported.
    void setSink(Telemetry::EventSink *sink);

    RequestTrace begin(std::string_view callerTraceParent, Base::Instant receivedAt);

    /// Ends the span of the wait in the queue. Returns the `traceparent` field for the target.
    std::string attemptStarted(RequestTrace &trace, Base::Instant now);
    void
    attemptEnded(RequestTrace &trace, std::string_view instance, std::string_view outcome, Base::Instant now);

    /// Ends the span of the wait for the claim of an idempotency key.
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
