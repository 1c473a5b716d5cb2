#include "requesttracer.h"

#include <memory>
#include <utility>

namespace Gateway::Internal
{

RequestTracer::RequestTracer(std::uint64_t seed, std::uint32_t sampledPerMille)
    : m_ids(seed, sampledPerMille)
{
}

void RequestTracer::setSink(Telemetry::EventSink *sink)
{
    m_sink = sink;
}

RequestTrace RequestTracer::begin(std::string_view callerTraceParent, Base::Instant receivedAt)
{
    RequestTrace trace;
    trace.context = m_ids.contextFor(callerTraceParent);
    trace.request = m_ids.newSpan();
    trace.receivedAt = receivedAt;
    trace.hopStartedAt = receivedAt;
    return trace;
}

std::string RequestTracer::attemptStarted(RequestTrace &trace, Base::Instant now)
{
    report(trace, {"queue", Telemetry::SpanKind::Internal, m_ids.newSpan()}, {}, now);
    trace.hop = m_ids.newSpan();
    trace.hopStartedAt = now;
    return Telemetry::traceParent({trace.context.trace, trace.hop, trace.context.isSampled});
}

void RequestTracer::attemptEnded(RequestTrace &trace,
                                 std::string_view instance,
                                 std::string_view outcome,
                                 Base::Instant now)
{
    report(trace,
           {"attempt", Telemetry::SpanKind::Client, trace.hop},
           {{"instance", std::string(instance)}, {"outcome", std::string(outcome)}},
           now);
    trace.hopStartedAt = now;
}

void RequestTracer::claimEnded(RequestTrace &trace, std::string_view outcome, Base::Instant now)
{
    report(trace,
           {"log", Telemetry::SpanKind::Client, m_ids.newSpan()},
           {{"outcome", std::string(outcome)}},
           now);
    trace.hopStartedAt = now;
}

void RequestTracer::ended(const RequestTrace &trace,
                          Telemetry::RequestDone done,
                          std::string_view reason,
                          Base::Instant now)
{
    if (!m_sink) {
        return;
    }
    if (trace.context.isSampled) {
        auto span = std::make_unique<Telemetry::Span>();
        span->trace = trace.context.trace;
        span->id = trace.request;
        span->parent = trace.context.span;
        span->name = "request";
        span->kind = Telemetry::SpanKind::Server;
        span->start = trace.receivedAt;
        span->end = now;
        span->isError = done.verdict.has_value();
        span->attributes.push_back({"service", done.service});
        span->attributes.push_back({"http.response.status_code", std::to_string(done.status)});
        if (done.verdict) {
            span->attributes.push_back({"verdict", std::string(Base::toString(*done.verdict))});
            span->attributes.push_back({"reason", std::string(reason)});
        }
        m_sink->report(std::move(span));
    }
    m_sink->report(std::move(done));
}

void RequestTracer::report(const RequestTrace &trace,
                           const Hop &hop,
                           std::vector<Telemetry::Attribute> attributes,
                           Base::Instant now)
{
    if (!m_sink || !trace.context.isSampled) {
        return;
    }
    auto span = std::make_unique<Telemetry::Span>();
    span->trace = trace.context.trace;
    span->id = hop.id;
    span->parent = trace.request;
    span->name = hop.name;
    span->kind = hop.kind;
    span->start = trace.hopStartedAt;
    span->end = now;
    span->attributes = std::move(attributes);
    m_sink->report(std::move(span));
}

} // namespace Gateway::Internal
