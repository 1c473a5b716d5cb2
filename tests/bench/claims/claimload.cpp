#include "claimload.h"

#include <claimservice/claimrunner.h>
#include <platform/eventloop.h>
#include <platform/httpplatform.h>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <unordered_map>
#include <vector>

namespace
{

using namespace std::chrono_literals;

constexpr Base::Duration ArrivalPeriod = 1ms;
constexpr Base::Duration ExecutionTime = 20ms;
constexpr Base::Duration ClaimTimeout = 5s;
constexpr Base::Duration DrainTimeout = 6s;

Base::Instant steadyNow()
{
    return std::chrono::time_point_cast<Base::Duration>(std::chrono::steady_clock::now());
}

// The CPU time used by this process, in seconds.
double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double milliseconds(Base::Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

class ClaimLoad
{
public:
    explicit ClaimLoad(const LoadSettings &settings)
        : m_settings(settings)
    {
        Platform::advanceToNow(m_timers);
        for (std::size_t n = 0; n < settings.desks; ++n) {
            addParticipant(n);
        }
    }

    void run()
    {
        m_timers.subscribeEvery(ArrivalPeriod, [this] { issueDueClaims(); });
        m_loop.run();
        print();
    }

private:
    struct Participant {
        std::unique_ptr<Platform::HttpPlatform> platform;
        std::unique_ptr<ClaimService::ClaimRunner<Platform::HttpPlatform>> runner;
    };

    void addParticipant(std::size_t index)
    {
        Platform::HttpSettings http;
        http.port = m_settings.port;
        ClaimService::RunnerSettings runner;
        runner.member =
            Base::MemberName{fmt::format("bench-{}-{}", steadyNow().time_since_epoch().count(), index)};
        runner.coordinator.outbox.minAppendInterval = m_settings.minAppendInterval;
        Participant participant;
        participant.platform = std::make_unique<Platform::HttpPlatform>(m_context, m_timers, http);
        ClaimService::ClaimRunner<Platform::HttpPlatform>::Events events;
        events.onReply = [this, index](const ClaimService::ClaimReply &reply) {
            onReply(index, reply);
        };
        events.onReadiness = [this](bool isReady) {
            m_readyCount += isReady ? 1 : -1;
        };
        participant.runner = std::make_unique<ClaimService::ClaimRunner<Platform::HttpPlatform>>(
            *participant.platform, m_timers, runner, events);
        participant.runner->start();
        m_participants.push_back(std::move(participant));
    }

    // Catches up after missed timer periods, so that the requested rate is maintained.
    void issueDueClaims()
    {
        if (m_readyCount < static_cast<int>(m_settings.desks)) {
            return;
        }
        const Base::Instant now = steadyNow();
        if (m_start == Base::Instant{}) {
            m_start = now;
            m_cpuStart = cpuSeconds();
        }
        const auto elapsed =
            std::min<Base::Duration>(now - m_start, std::chrono::seconds(m_settings.seconds));
        const auto wanted =
            static_cast<std::size_t>(elapsed.count()) * m_settings.claimsPerSecond / 1'000'000;
        while (m_lastId < wanted) {
            claimNext();
        }
        const bool isOver = elapsed == std::chrono::seconds(m_settings.seconds);
        if ((isOver && m_open.empty()) || now - m_start > elapsed + DrainTimeout) {
            m_loop.stop();
        }
    }

    void claimNext()
    {
        const std::uint64_t id = ++m_lastId;
        const Base::Instant now = steadyNow();
        m_open.emplace(id, now);
        const auto key =
            Claims::digestOf(std::to_string(m_start.time_since_epoch().count()), std::to_string(id));
        m_participants[id % m_participants.size()].runner->claim({id, key, id, now + ClaimTimeout});
    }

    void onReply(std::size_t index, const ClaimService::ClaimReply &reply)
    {
        const auto *grant = std::get_if<Claims::Grant>(&reply);
        if (!grant) {
            m_open.erase(std::get<Claims::ClaimAnswer>(reply).requestId);
            ++m_refused;
            return;
        }
        const auto it = m_open.find(grant->requestId);
        m_latencies.push_back(steadyNow() - it->second);
        m_open.erase(it);
        m_timers.subscribeAfter(ExecutionTime, [this, index, id = grant->requestId] {
            m_participants[index].runner->finish(
                id, Claims::RequestCompleted{200, std::string(m_settings.answerBytes, 'a')});
        });
    }

    Base::Duration quantile(double fraction) const
    {
        if (m_latencies.empty()) {
            return {};
        }
        return m_latencies[static_cast<std::size_t>(fraction * static_cast<double>(m_latencies.size() - 1))];
    }

    void print()
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        const std::chrono::duration<double> elapsed = steadyNow() - m_start;
        const double cpuShare = (cpuSeconds() - m_cpuStart) / elapsed.count();
        fmt::print("offered={} granted={} refused={} p50_ms={:.2f} p99_ms={:.2f} max_ms={:.2f} "
                   "core_percent_per_desk={:.2f}\n",
                   m_settings.claimsPerSecond,
                   m_latencies.size(),
                   m_refused,
                   milliseconds(quantile(0.5)),
                   milliseconds(quantile(0.99)),
                   milliseconds(quantile(1)),
                   100 * cpuShare / static_cast<double>(m_settings.desks));
        std::fflush(stdout);
    }

    LoadSettings m_settings;
    boost::asio::io_context m_context{1};
    Base::TimerService m_timers;
    Platform::EventLoop m_loop{m_context, m_timers};
    std::vector<Participant> m_participants;
    int m_readyCount = 0;
    Base::Instant m_start;
    double m_cpuStart = 0;
    std::uint64_t m_lastId = 0;
    std::size_t m_refused = 0;
    std::unordered_map<std::uint64_t, Base::Instant> m_open;
    std::vector<Base::Duration> m_latencies;
};

} // namespace

void runClaimLoad(const LoadSettings &settings)
{
    ClaimLoad(settings).run();
}
