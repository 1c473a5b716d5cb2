#include "daemonsettings.h"

using namespace std::chrono_literals;

namespace Settings
{

namespace
{

using DaemonDeclarations = Declarations<DaemonSettings>;

constexpr Bytes Kibibyte{1024};
constexpr Bytes Mebibyte{1024 * Kibibyte.value};
constexpr Bytes Gibibyte{1024 * Mebibyte.value};

constexpr std::uint32_t MostOpenFiles = 1'000'000;

void declareInstance(DaemonDeclarations &settings)
{
    using Part = InstanceSettings;
    settings.section(&DaemonSettings::instance, "instance", "Which entry instance this is.")
        .add(&Part::name,
             "name",
             Required,
             NotEmpty{},
             "Name of the entry instance, as the platform lists it.")
        .add(
            &Part::zone, "zone", Required, NotEmpty{}, "Availability zone that the entry instance stands in.")
        .add(&Part::environment,
             "environment",
             Required,
             NotEmpty{},
             "Environment whose document is in force.");
}

void declareCallers(DaemonDeclarations &settings)
{
    using Part = CallersSettings;
    settings.section(&DaemonSettings::callers, "callers", "How callers' requests are taken in.")
        .add(&Part::address, "address", Required, AnyValue{}, "Where callers' requests are accepted.")
        .add(&Part::headerLimit,
             "header_limit_bytes",
             Bytes{16 * Kibibyte.value},
             range(Kibibyte, Mebibyte),
             "Longest header of a request; a longer one is refused.")
        .add(&Part::bodyLimit,
             "body_limit_bytes",
             Bytes{8 * Mebibyte.value},
             range(Kibibyte, Gibibyte),
             "Longest body of a request; a longer one is refused.")
        .add(&Part::headerTimeout,
             "header_timeout_ms",
             5s,
             range<Milliseconds>(100ms, 60s),
             "A header that takes longer to arrive closes the connection.")
        .add(&Part::bodyTimeout,
             "body_timeout_ms",
             10s,
             range<Milliseconds>(100ms, 600s),
             "A body that makes no progress for this long closes the connection.")
        .add(&Part::idleTimeout,
             "idle_timeout_ms",
             60s,
             range<Milliseconds>(1s, 3600s),
             "A connection without a request for this long is closed.")
        .add(&Part::connectionLimit,
             "connection_limit",
             4096,
             range<std::uint32_t>(1, MostOpenFiles),
             "Open connections of callers; further ones are refused.")
        .add(&Part::receiveLimit,
             "receive_limit_bytes",
             Bytes{256 * Mebibyte.value},
             range(Mebibyte, Bytes{64 * Gibibyte.value}),
             "Held for requests that are not whole, over all connections; beyond it the one that has held "
             "most for "
             "longest is refused.");
}

void declareTargets(DaemonDeclarations &settings)
{
    using Part = TargetsSettings;
    settings.section(&DaemonSettings::targets, "targets", "How connections to targets are kept.")
        .add(&Part::connectTimeout,
             "connect_timeout_ms",
             500ms,
             range<Milliseconds>(10ms, 30s),
             "A target that does not accept within this time counts as not reached.")
        .add(&Part::progressTimeout,
             "progress_timeout_ms",
             5s,
             range<Milliseconds>(50ms, 600s),
             "An exchange that is silent for this long is given up and its connection closed.")
        .add(&Part::idleTimeout,
             "idle_timeout_ms",
             15s,
             range<Milliseconds>(100ms, 3600s),
             "An unused connection to a target is closed after this time.")
        .add(&Part::heartbeat,
             "heartbeat_ms",
             1s,
             range<Milliseconds>(50ms, 60s),
             "Time between checks of a target that no request reaches.");
}

void declareRequests(DaemonDeclarations &settings)
{
    using Part = RequestsSettings;
    settings.section(&DaemonSettings::requests, "requests", "Limits of the request plane.")
        .add(&Part::inFlightLimit,
             "in_flight_limit",
             1024,
             range<std::uint32_t>(1, MostOpenFiles),
             "Requests in flight at once, over all services.")
        .add(&Part::queueLimit,
             "queue_limit",
             1024,
             range<std::uint32_t>(0, MostOpenFiles),
             "Requests that wait at once for each service; further ones are refused as not run.")
        .add(&Part::resendLimit,
             "resend_limit_bytes",
             Bytes{256 * Kibibyte.value},
             range(Bytes{0}, Gibibyte),
             "A request with a longer body is not sent a second time.")
        .add(
            &Part::resendTotal,
            "resend_total_bytes",
            Bytes{256 * Mebibyte.value},
            range(Bytes{0}, Bytes{64 * Gibibyte.value}),
            "Bodies that are kept for a second time, of all requests together; one beyond them is not sent a "
            "second time.")
        .add(&Part::retryBudgetPercent,
             "retry_budget_percent",
             10,
             range<std::uint32_t>(0, 100),
             "Retries allowed as a share of the successes.")
        .add(&Part::defaultDeadline,
             "default_deadline_ms",
             10s,
             range<Milliseconds>(10ms, 3600s),
             "Deadline of a request that brings none and whose service declares none.")
        .add(&Part::drainNotice,
             "drain_notice_ms",
             2s,
             range<Milliseconds>(0ms, 60s),
             "On shutdown, time between not ready for the balancer and accepting no more connections.")
        .add(&Part::shutdownTimeout,
             "shutdown_timeout_ms",
             60s,
             range<Milliseconds>(1s, 3600s),
             "On shutdown, longest wait for the requests in flight.");
}

void declareAddresses(DaemonDeclarations &settings)
{
    settings.section(&DaemonSettings::operators, "operators", "What operators and the balancer ask.")
        .add(&OperatorsSettings::address,
             "address",
             Required,
             AnyValue{},
             "Where status, readiness and metrics are served.");
    settings.section(&DaemonSettings::peers, "peers", "What other entry instances ask.")
        .add(&PeersSettings::address,
             "address",
             Required,
             AnyValue{},
             "Where other entry instances are answered.");
}

void declarePlatform(DaemonDeclarations &settings)
{
    using Part = PlatformSettings;
    settings.section(&DaemonSettings::platform, "platform", "The platform's log, list and actions.")
        .add(&Part::address, "address", Required, AnyValue{}, "Where the platform's service listens.")
        .add(&Part::poll,
             "poll_ms",
             500ms,
             range<Milliseconds>(10ms, 60s),
             "Time between reads of the platform's list, and longest wait of one read of the log.")
        .add(&Part::requestTimeout,
             "request_timeout_ms",
             3s,
             range<Milliseconds>(100ms, 60s),
             "A request to the platform that takes longer has an unknown outcome.")
        .add(&Part::claimsWindow,
             "claims_window_ms",
             600s,
             range<Milliseconds>(1s, 86'400s),
             "How long the claim of an idempotency key is remembered.")
        .add(&Part::claimBatch,
             "claim_batch_ms",
             5ms,
             range<Milliseconds>(0ms, 1s),
             "How long claims are gathered into one append.");
}

void declareTelemetry(DaemonDeclarations &settings)
{
    using Part = TelemetrySettings;
    settings.section(&DaemonSettings::telemetry, "telemetry", "Traces and log lines.")
        .add(&Part::tracesAddress,
             "traces_address",
             std::nullopt,
             AnyValue{},
             "Collector of traces over OTLP/HTTP; empty: no traces are sent.")
        .add(&Part::traceSamplePerMille,
             "trace_sample_per_mille",
             10,
             range<std::uint32_t>(0, 1000),
             "Share of the requests that are traced unless the caller asks for it.")
        .add(&Part::logLevel,
             "log_level",
             Base::LogLevel::Info,
             AnyValue{},
             "Events below this level are not logged.");
}

void declarePlanner(DaemonDeclarations &settings)
{
    using Part = PlannerSettings;
    settings.section(&DaemonSettings::planner, "planner", "Decisions about moves and maintenance.")
        .add(&Part::lease,
             "lease_ms",
             10s,
             range<Milliseconds>(500ms, 600s),
             "A planner that is silent for this long may be replaced by another.")
        .add(&Part::period,
             "period_ms",
             1s,
             range<Milliseconds>(50ms, 60s),
             "Time between two planner passes.");
    settings.section(&DaemonSettings::fleet, "fleet", "Bounds that hold over all entry instances.")
        .add(&FleetSettings::sharesSlots,
             "share_slots",
             false,
             AnyValue{},
             "Whether targets' slots are shared by leases with the zone's other entry instances; otherwise "
             "each "
             "uses them as if it were alone.")
        .add(&FleetSettings::leaveBound,
             "leave_bound_ms",
             2s,
             range<Milliseconds>(100ms, 60s),
             "An instance that is leaving gets no new work after this time.");
}

DaemonDeclarations declared()
{
    DaemonDeclarations settings;
    declareInstance(settings);
    declareCallers(settings);
    declareTargets(settings);
    declareRequests(settings);
    declareAddresses(settings);
    declarePlatform(settings);
    declareTelemetry(settings);
    declarePlanner(settings);
    return settings;
}

} // namespace

const Declarations<DaemonSettings> &daemonDeclarations()
{
    static DaemonDeclarations settings = declared();
    return settings;
}

} // namespace Settings
