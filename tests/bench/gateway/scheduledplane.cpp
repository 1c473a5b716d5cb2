#include "plane.h"

#include <gateway/requestplane.h>
#include <runtime/eventloopthread.h>
#include <scheduling/requestscheduler.h>
#include <telemetry/telemetrythread.h>

#include <string>
#include <vector>

namespace Bench
{

namespace
{

constexpr std::uint64_t Seed = 1;
constexpr std::size_t EventCapacity = 8192; // as the daemon has it
constexpr std::uint32_t TraceSamplePerMille = 10; // the setting's default
constexpr std::uint32_t SlotsPerTarget = 4096;
constexpr std::chrono::milliseconds Deadline{10'000};
constexpr Document::PerMille Availability = 500;

Gateway::TargetLimits targetLimits()
{
    Gateway::TargetLimits limits;
    limits.traceSamplePerMille = TraceSamplePerMille;
    return limits;
}

class ScheduledPlane final : public Plane
{
public:
    explicit ScheduledPlane(std::span<const Address> targets)
        : m_plane({}, targetLimits(), {}, Seed)
        , m_telemetry(m_telemetryThread, {})
    {
        m_plane.setTelemetry(m_events);
        m_telemetry.addSink(m_events);
        m_plane.setRouting(routingTo(targets));
        m_telemetry.start();
        m_plane.start();
        m_telemetryThread.start();
    }

    ScheduledPlane(const ScheduledPlane &) = delete;
    ScheduledPlane &operator=(const ScheduledPlane &) = delete;

    ~ScheduledPlane() override
    {
        m_plane.stop();
        m_telemetryThread.stop();
    }

    Address address() const override
    {
        return {"127.0.0.1", m_plane.callers().port()};
    }

private:
    Telemetry::EventSink m_events{EventCapacity};
    mutable Gateway::RequestPlane<Scheduling::RequestScheduler> m_plane;
    Runtime::EventLoopThread m_telemetryThread{"telemetry"};
    Telemetry::TelemetryThread m_telemetry;
};

} // namespace

std::shared_ptr<const Gateway::RoutingTable> routingTo(std::span<const Address> targets)
{
    const Base::PoolName pool{"workers"};
    std::vector<Gateway::RoutedService> services{
        {{"preview"}, pool, {{RoutedPath, true}}, Document::Priority::Interactive, Deadline, Availability}};
    std::vector<Gateway::RoutedTarget> routed;
    for (const auto &it : targets) {
        routed.push_back({{"worker" + std::to_string(it.port)},
                          it.ip,
                          it.port,
                          pool,
                          {"a"},
                          SlotsPerTarget,
                          SlotsPerTarget,
                          false});
    }
    return std::make_shared<Gateway::RoutingTable>(std::move(services), std::move(routed));
}

std::unique_ptr<Plane> scheduledPlane(std::span<const Address> targets)
{
    return std::make_unique<ScheduledPlane>(targets);
}

} // namespace Bench
