#include "statuspage.h"

#include <telemetry/requestmetrics.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <string_view>

namespace json = boost::json;

namespace Daemon
{

namespace
{

void addMetric(Telemetry::MetricsText &text,
               std::string_view name,
               std::string_view type,
               std::string_view help,
               const std::atomic<std::uint64_t> &value)
{
    text.family(name, type, help).sample(static_cast<double>(value.load(std::memory_order_relaxed)));
}

} // namespace

std::string statusPage(const Settings::InstanceSettings &instance,
                       const Control::ControlStatus &control,
                       const Gateway::CallerCounters &callers,
                       const Gateway::TargetCounters &targets,
                       bool isReady)
{
    const json::object page{{"instance", instance.name},
                            {"zone", instance.zone},
                            {"environment", instance.environment},
                            {"member", control.member.value},
                            {"is_ready", isReady},
                            {"is_platform_reachable", control.isPlatformReachable},
                            {"document_offset", control.documentOffset},
                            {"common_applied_to", control.commonAppliedTo},
                            {"zone_applied_to", control.zoneAppliedTo},
                            {"instances", control.instances},
                            {"draining_instances", control.drainingInstances},
                            {"open_moves", control.openMoves},
                            {"planner", control.planner},
                            {"pending_appends", control.pendingAppends},
                            {"callers_connections", callers.connections.load()},
                            {"requests", callers.requests.load()},
                            {"in_flight", callers.inFlight.load()},
                            {"attempts", targets.attempts.load()},
                            {"answered", targets.answered.load()},
                            {"refused", targets.refused.load()},
                            {"failed", targets.failed.load()}};
    return json::serialize(page) + '\n';
}

std::string gatewayMetrics(const Gateway::CallerCounters &callers, const Gateway::TargetCounters &targets)
{
    Telemetry::MetricsText text;
    addMetric(text,
              "rhubarbcrank_callers_connections",
              "gauge",
              "Open connections of callers.",
              callers.connections);
    addMetric(text, "rhubarbcrank_in_flight", "gauge", "Requests in flight.", callers.inFlight);
    addMetric(text,
              "rhubarbcrank_callers_malformed_total",
              "counter",
              "Requests refused as malformed.",
              callers.malformed);
    addMetric(text,
              "rhubarbcrank_callers_hung_up_total",
              "counter",
              "Connections lost in a request.",
              callers.callerDisconnects);
    addMetric(text,
              "rhubarbcrank_exchanges_total",
              "counter",
              "Requests handed to the target side.",
              targets.exchanges);
    addMetric(text, "rhubarbcrank_attempts_total", "counter", "Requests sent to targets.", targets.attempts);
    addMetric(
        text, "rhubarbcrank_answered_total", "counter", "Requests answered by targets.", targets.answered);
    addMetric(text, "rhubarbcrank_refused_total", "counter", "Requests refused as not run.", targets.refused);
    addMetric(
        text, "rhubarbcrank_failed_total", "counter", "Requests failed after an attempt.", targets.failed);
    addMetric(text,
              "rhubarbcrank_silent_connections_total",
              "counter",
              "Connections given up.",
              targets.progressTimeouts);
    return text.text();
}

} // namespace Daemon
