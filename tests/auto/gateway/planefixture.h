#pragma once

#include <gateway/requestplane.h>
#include <scheduling/requestscheduler.h>
#include <target/targetserver.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

/// Target servers that run on a separate thread.
class TestTargets
{
public:
    explicit TestTargets(std::size_t count);
    TestTargets(const TestTargets &) = delete;
    TestTargets &operator=(const TestTargets &) = delete;
    ~TestTargets();

    std::size_t count() const;
    std::uint16_t port(std::size_t n) const;

    /// Runs `task` with a target on the servers' thread and waits for it.
    void runOnTarget(std::size_t n, std::function<void(TargetStandin::TargetServer &)> task);
    std::uint64_t executions();

    /// Returns the highest number of executions of any single key or marker, summed over all targets.
    std::uint32_t maxExecutionsPerKey();

private:
    boost::asio::io_context m_context{1};
    std::vector<std::unique_ptr<TargetStandin::TargetServer>> m_servers;
    std::thread m_thread;
};

/// A request plane with some targets and short timeouts. The services are "preview" (idempotent, /preview)
/// and "proof" (not idempotent, /proof). All targets serve both.
class PlaneFixture
{
public:
    using Plane = Gateway::RequestPlane<Scheduling::RequestScheduler>;

    explicit PlaneFixture(std::size_t targetCount = 2);

    /// Starts the plane with the current limits.
    void start();

    /// Installs a routing table with targets on these ports. `draining` has the indices of draining targets.
    void route(const std::vector<std::uint16_t> &ports, const std::vector<std::size_t> &draining = {});

    std::uint16_t port() const;

    Gateway::CallerLimits callerLimits;
    Gateway::TargetLimits targetLimits;
    Scheduling::SchedulerLimits schedulerLimits;
    TestTargets targets;
    std::unique_ptr<Plane> plane;
};

/// Waits up to 20 s until `condition` holds. Returns whether it does.
bool eventually(const std::function<bool()> &condition);
