#include "daemon.h"

#include "statuspage.h"

#include <base/logline.h>
#include <claimservice/claimprocessor.h>
#include <control/controlplane.h>
#include <gateway/requestplane.h>
#include <runtime/eventloopthread.h>
#include <scheduling/requestscheduler.h>
#include <telemetry/telemetrythread.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <csignal>
#include <random>
#include <utility>

namespace Daemon
{

namespace
{

using Settings::DaemonSettings;
constexpr std::size_t EventCapacity = 8192;
constexpr Base::Duration ClaimStopTimeout = std::chrono::seconds{2};

using Plane = Gateway::RequestPlane<Scheduling::RequestScheduler>;

Gateway::CallerLimits callerLimits(const DaemonSettings &settings)
{
    Gateway::CallerLimits limits;
    limits.address = settings.callers.address.ip;
    limits.port = settings.callers.address.port;
    limits.headerBytes = static_cast<std::uint32_t>(settings.callers.headerLimit.value);
    limits.bodyBytes = settings.callers.bodyLimit.value;
    limits.headerTimeout = settings.callers.headerTimeout;
    limits.bodyTimeout = settings.callers.bodyTimeout;
    limits.idleTimeout = settings.callers.idleTimeout;
    limits.drainNotice = settings.requests.drainNotice;
    limits.connections = settings.callers.connectionLimit;
    limits.receivedBytes = settings.callers.receiveLimit.value;
    limits.inFlight = settings.requests.inFlightLimit;
    return limits;
}

Gateway::TargetLimits targetLimits(const DaemonSettings &settings)
{
    Gateway::TargetLimits limits;
    limits.connectTimeout = settings.targets.connectTimeout;
    limits.progressTimeout = settings.targets.progressTimeout;
    limits.idleTimeout = settings.targets.idleTimeout;
    limits.nonIdempotentReuseAge = settings.targets.heartbeat;
    limits.resendBytes = settings.requests.resendLimit.value;
    limits.resendTotalBytes = settings.requests.resendTotal.value;
    limits.traceSamplePerMille = settings.telemetry.traceSamplePerMille;
    return limits;
}

Scheduling::SchedulerLimits schedulerLimits(const DaemonSettings &settings)
{
    Scheduling::SchedulerLimits limits;
    limits.zone = {settings.instance.zone};
    limits.maxQueueLength.fill(settings.requests.queueLimit);
    limits.requests = settings.requests.inFlightLimit;
    limits.retryShare = settings.requests.retryBudgetPercent / 100.0;
    return limits;
}

Control::ControlSettings controlSettings(const DaemonSettings &settings, const std::string &shareFolder)
{
    Control::ControlSettings control;
    control.environment = {settings.instance.environment};
    control.zone = {settings.instance.zone};
    control.instance = settings.instance.name;
    control.chartsFolder = shareFolder + "/charts";
    control.platform.host = settings.platform.address.ip;
    control.platform.port = settings.platform.address.port;
    control.platform.requestTimeout = settings.platform.requestTimeout;
    control.listPeriod = settings.platform.poll;
    control.plannerPeriod = settings.planner.period;
    control.plannerLease = settings.planner.lease;
    control.peersAddress = Ini::toString(settings.peers.address);
    control.seed = std::random_device{}();
    return control;
}

ClaimService::ClaimProcessorSettings claimSettings(const DaemonSettings &settings,
                                                   const Base::MemberName &member)
{
    ClaimService::ClaimProcessorSettings claims;
    claims.runner.stream = settings.instance.environment + ".claims";
    claims.runner.member = member;
    claims.runner.coordinator.outbox.minAppendInterval = settings.platform.claimBatch;
    claims.runner.coordinator.maxOpenClaims = settings.requests.inFlightLimit;
    claims.runner.seed = std::random_device{}();
    claims.platform.host = settings.platform.address.ip;
    claims.platform.port = settings.platform.address.port;
    claims.platform.requestTimeout = settings.platform.requestTimeout;
    return claims;
}

Telemetry::TelemetryLimits telemetryLimits(const DaemonSettings &settings)
{
    Telemetry::TelemetryLimits limits;
    limits.address = settings.operators.address.ip;
    limits.port = settings.operators.address.port;
    limits.instance = settings.instance.name;
    if (settings.telemetry.tracesAddress) {
        limits.tracesAddress = settings.telemetry.tracesAddress->ip;
        limits.tracesPort = settings.telemetry.tracesAddress->port;
    }
    return limits;
}

} // namespace

class Daemon::Private
{
public:
    Private(const DaemonSettings &settings, const std::string &shareFolder)
        : m_settings(settings)
        , m_requestPlane(callerLimits(settings),
                         targetLimits(settings),
                         schedulerLimits(settings),
                         std::random_device{}())
        , m_controlThread("control")
        , m_control(m_controlThread, controlSettings(settings, shareFolder), requestPlanePort())
        , m_claims(claimSettings(settings, m_control.status()->member), [this] { onClaimReplies(); })
        , m_telemetryThread("telemetry")
        , m_telemetry(m_telemetryThread, telemetryLimits(settings))
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_shutdownTimer(m_context)
    {
        m_requestPlane.setClaims(
            {[this](const Claims::ClaimRequest &request) { return m_claims.claim(request); },
             [this](std::uint64_t id, Claims::RequestOutcome outcome) {
                 m_claims.finish(id, std::move(outcome));
             }});
        if (settings.fleet.sharesSlots) {
            enableSlotSharing();
        }
        m_requestPlane.setTelemetry(m_events);
        m_telemetry.addSink(m_events);
        addPages();
    }

    int run()
    {
        m_telemetry.start();
        m_control.start();
        m_requestPlane.start();
        m_telemetryThread.start();
        m_controlThread.start();
        Base::LogLine(Base::LogLevel::Info, "started")
            .with("callers_port", m_requestPlane.callers().port())
            .with("operators_port", m_telemetry.port());
        waitForSignal();
        m_context.run();
        m_control.stopPeerServer();
        m_requestPlane.stop();
        if (!m_claims.stop(ClaimStopTimeout)) {
            Base::LogLine(Base::LogLevel::Warning, "claims-left-open");
        }
        m_controlThread.stop();
        m_telemetryThread.stop();
        Base::LogLine(Base::LogLevel::Info, "stopped").with("exit_status", m_exitStatus);
        return m_exitStatus;
    }

private:
    Control::RequestPlanePort requestPlanePort()
    {
        return {[this](std::shared_ptr<const Gateway::RoutingTable> table) {
                    m_requestPlane.setRouting(std::move(table));
                },
                [this](std::vector<Base::InstanceName> instances, Control::InFlightCallback callback) {
                    queryInFlight(std::move(instances), std::move(callback));
                },
                [this](std::function<void(Control::RequestPlaneLoad)> callback) {
                    queryLoad(std::move(callback));
                },
                [this](Scheduling::MembershipEpoch epoch) {
                    m_requestPlane.postToTargets(
                        [epoch = std::move(epoch)](auto &targets) { targets.setEpoch(epoch); });
                },
                [this](Scheduling::SlotMessage message) {
                    m_requestPlane.postToTargets(
                        [message = std::move(message)](auto &targets) { targets.receive(message); });
                }};
    }

    void queryInFlight(std::vector<Base::InstanceName> instances, Control::InFlightCallback callback)
    {
        m_requestPlane.postToTargets(
            [this, instances = std::move(instances), callback = std::move(callback)](auto &targets) {
                std::vector<std::uint32_t> inFlight;
                for (const auto &it : instances) {
                    inFlight.push_back(targets.inFlightOn(it));
                }
                m_controlThread.post([callback, inFlight = std::move(inFlight)] { callback(inFlight); });
            });
    }

    void queryLoad(std::function<void(Control::RequestPlaneLoad)> callback)
    {
        m_requestPlane.postToTargets([this, callback = std::move(callback)](auto &targets) {
            Control::RequestPlaneLoad load;
            for (const auto &it : targets.scheduler().statistics().pools) {
                load.demands.push_back({it.pool,
                                        static_cast<double>(it.busyForeground),
                                        static_cast<double>(it.busyBatch),
                                        static_cast<double>(it.queuedForeground),
                                        static_cast<double>(it.queuedBatch)});
            }
            for (const auto &it : targets.inFlight()) {
                load.instances.push_back({it.instance, it.requests, false});
            }
            m_controlThread.post([callback, load = std::move(load)]() mutable { callback(std::move(load)); });
        });
    }

    void onClaimReplies()
    {
        m_requestPlane.postToTargets([this](auto &targets) {
            m_claims.drainReplies(
                [&targets](Gateway::ClaimReply reply) { targets.receive(std::move(reply)); });
        });
    }

    bool isReady() const
    {
        return m_control.status()->isReady && !m_isShuttingDown.load();
    }

    void enableSlotSharing()
    {
        Gateway::SlotPort port;
        port.self = m_control.status()->member;
        port.send = [this](std::vector<Scheduling::OutgoingSlotMessage> messages) {
            m_control.sendSlotMessages(std::move(messages));
        };
        m_requestPlane.postToTargets(
            [port = std::move(port)](auto &targets) { targets.enableSlotSharing(port); });
    }

    void addPages()
    {
        m_telemetry.addMetrics([this] {
            return gatewayMetrics(m_requestPlane.callers().counters(), m_requestPlane.targetCounters());
        });
        m_telemetry.addPage("/healthz", [] {
            return Telemetry::Page{200, "text/plain; charset=utf-8", "ok\n"};
        });
        m_telemetry.addPage("/readyz", [this] {
            return isReady() ? Telemetry::Page{200, "text/plain; charset=utf-8", "ready\n"}
                             : Telemetry::Page{503, "text/plain; charset=utf-8", "not ready\n"};
        });
        m_telemetry.addPage("/status", [this] {
            return Telemetry::Page{200,
                                   "application/json",
                                   statusPage(m_settings.instance,
                                              *m_control.status(),
                                              m_requestPlane.callers().counters(),
                                              m_requestPlane.targetCounters(),
                                              isReady())};
        });
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &ec, int signal) {
            if (ec) {
                return;
            }
            if (signal == SIGHUP) {
                Base::LogLine(Base::LogLevel::Warning, "reload-refused")
                    .with("reason", "settings are only read at startup");
                waitForSignal();
                return;
            }
            onSignal(signal);
        });
    }

    // First reports not ready. The caller side keeps serving during the drain notice period, then stops
    // accepting connections and finishes with its last response. Only then does this member leave the zone.
    void onSignal(int signal)
    {
        Base::LogLine(Base::LogLevel::Info, "shutdown-begins").with("signal", signal);
        m_isShuttingDown.store(true);
        m_shutdownTimer.expires_after(m_settings.requests.shutdownTimeout);
        m_shutdownTimer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec) {
                onShutdownTimeout();
            }
        });
        m_requestPlane.callers().drain([this] {
            m_requestPlane.postToTargets([](auto &targets) { targets.stopSlotSharing(); });
            m_control.leave([this] { m_context.stop(); });
        });
    }

    void onShutdownTimeout()
    {
        Base::LogLine(Base::LogLevel::Error, "shutdown-timeout")
            .with("in_flight", m_requestPlane.callers().counters().inFlight.load());
        m_exitStatus = 1;
        m_context.stop();
    }

    DaemonSettings m_settings;
    boost::asio::io_context m_context{1};
    Telemetry::EventSink m_events{EventCapacity};
    Plane m_requestPlane;
    Runtime::EventLoopThread m_controlThread;
    Control::ControlPlane m_control;
    ClaimService::ClaimProcessor m_claims;
    Runtime::EventLoopThread m_telemetryThread;
    Telemetry::TelemetryThread m_telemetry;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_shutdownTimer;
    std::atomic<bool> m_isShuttingDown{false};
    int m_exitStatus = 0;
};

Daemon::Daemon(const Settings::DaemonSettings &settings, const std::string &shareFolder)
    : d(std::make_unique<Private>(settings, shareFolder))
{
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    return d->run();
}

} // namespace Daemon
