#pragma once

#include <gateway/requestplane.h>
#include <scheduling/requestscheduler.h>
#include <target/targetserver.h>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

/// Targets on a thread of their own.
class TestTargets
{
public:
    explicit TestTargets(std::size_t count);
    TestTargets(const TestTargets &) = delete;
    TestTargets &operator=(const TestTargets &) = delete;
    ~TestTargets();

    std::size_t count() const;
    std::uint16_t port(std::size_t n) const;

    /// Reads or changes a target on its thread.
    void runOnTarget(std::size_t n, std::function<void(TargetStandin::TargetServer &)> task);
    std::uint64_t executions();

    /// The most executions of one key or marker, over all targets.
    std::uint32_t maxExecutionsPerKey();

private:
    boost::asio::io_context m_context{1};
    std::vector<std::unique_ptr<TargetStandin::TargetServer>> m_servers;
    std::thread m_thread;
};

/// A request plane in front of some targets, with short time limits. The services are "preview" (idempotent,
/// /preview) and "proof" (not idempotent, /proof), both carried by all targets.
class PlaneFixture
{
public:
    using Plane = Gateway::RequestPlane<Scheduling::RequestScheduler>;

    explicit PlaneFixture(std::size_t targetCount = 2);

    /// Limits may be changed before start().
    void start();

    /// Puts a routing table in force with these ports as targets; `draining` are the indices that drain.
    void route(const std::vector<std::uint16_t> &ports, const std::vector<std::size_t> &draining = {});

    std::uint16_t port() const;

    Gateway::CallerLimits callerLimits;
    Gateway::TargetLimits targetLimits;
    Scheduling::SchedulerLimits schedulerLimits;
    TestTargets targets;
    std::unique_ptr<Plane> plane;
};

/// Waits until `condition` holds, for a generous time; returns whether it does.
bool eventually(const std::function<bool()> &condition);
