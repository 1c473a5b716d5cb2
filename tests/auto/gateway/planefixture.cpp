#include "planefixture.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <utility>

using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Seed = 20261204;

} // namespace

TestTargets::TestTargets(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n) {
        m_servers.push_back(std::make_unique<TargetStandin::TargetServer>(m_context, "127.0.0.1", 0));
        m_servers.back()->start();
    }
    m_thread = std::thread([this] { m_context.run(); });
}

TestTargets::~TestTargets()
{
    m_context.stop();
    m_thread.join();
}

std::size_t TestTargets::count() const
{
    return m_servers.size();
}

std::uint16_t TestTargets::port(std::size_t n) const
{
    return m_servers[n]->port();
}

void TestTargets::runOnTarget(std::size_t n, std::function<void(TargetStandin::TargetServer &)> task)
{
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        task(*m_servers[n]);
        done.set_value();
    });
    done.get_future().wait();
}

std::uint64_t TestTargets::executions()
{
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        runOnTarget(n, [&](auto &server) { sum += server.counters().executions; });
    }
    return sum;
}

std::uint32_t TestTargets::maxExecutionsPerKey()
{
    std::map<std::string, std::uint32_t> all;
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        runOnTarget(n, [&](auto &server) {
            for (const auto &[key, count] : server.counters().executionsByKey) {
                all[key] += count;
            }
        });
    }
    std::uint32_t most = 0;
    for (const auto &[key, count] : all) {
        most = std::max(most, count);
    }
    return most;
}

PlaneFixture::PlaneFixture(std::size_t targetCount)
    : targets(targetCount)
{
    callerLimits.headerTimeout = 300ms;
    callerLimits.bodyTimeout = 300ms;
    callerLimits.drainNotice = 100ms;
    targetLimits.progressTimeout = 300ms;
}

void PlaneFixture::start()
{
    plane = std::make_unique<Plane>(callerLimits, targetLimits, schedulerLimits, Seed);
    std::vector<std::uint16_t> ports;
    for (std::size_t n = 0; n < targets.count(); ++n) {
        ports.push_back(targets.port(n));
    }
    route(ports);
    plane->start();
}

void PlaneFixture::route(const std::vector<std::uint16_t> &ports, const std::vector<std::size_t> &draining)
{
    const Base::PoolName pool{"workers"};
    const std::vector<Gateway::RoutedService> services{
        {{"preview"}, pool, {{"/preview", true}}, Document::Priority::Interactive, 2000ms, 500},
        {{"proof"}, pool, {{"/proof", false}}, Document::Priority::Interactive, 2000ms, 500}};
    std::vector<Gateway::RoutedTarget> routed;
    for (std::size_t n = 0; n < ports.size(); ++n) {
        const bool isDraining = std::find(draining.begin(), draining.end(), n) != draining.end();
        routed.push_back(
            {{"worker" + std::to_string(n)}, "127.0.0.1", ports[n], pool, {"a"}, 8, 64, isDraining});
    }
    plane->setRouting(std::make_shared<Gateway::RoutingTable>(services, routed));
}

std::uint16_t PlaneFixture::port() const
{
    return plane->callers().port();
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(2ms);
    }
    return true;
}
