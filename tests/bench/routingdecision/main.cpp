#include <scheduling/requestscheduler.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

#include <fmt/format.h>

using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t SlotsPerTarget = 8;
constexpr int Decisions = 500'000; // per round
constexpr int Rounds = 7;

const Base::PoolName Pool{"proofs"};

std::vector<Scheduling::TargetSpec> targets(std::uint32_t count)
{
    std::vector<Scheduling::TargetSpec> result;
    for (std::uint32_t n = 1; n <= count; ++n) {
        result.push_back(
            {Scheduling::TargetId{n}, {"instance" + std::to_string(n)}, Pool, {}, SlotsPerTarget, 64, false});
    }
    return result;
}

/// Requests come in and end in turn, with a constant number in flight and in the queue.
class Turnover
{
public:
    Turnover(std::uint32_t targetCount, double load)
        : m_scheduler({}, 1)
        , m_inFlight(static_cast<std::uint32_t>(targetCount * SlotsPerTarget * load))
    {
        const std::vector<Scheduling::ServiceSpec> services{{Scheduling::ServiceId{1}, Pool, 700}};
        m_scheduler.setFleet(services, targets(targetCount));
        m_scheduler.advance(m_now, m_out);
        for (std::uint32_t n = 0; n < m_inFlight; ++n) {
            arrive();
        }
    }

    /// One arrival that is placed or queued, and the end of the oldest attempt, which frees its slot.
    void turn()
    {
        arrive();
        const Scheduling::RequestId oldest = m_running.front();
        m_running.pop_front();
        const Scheduling::AttemptResult result{Scheduling::AttemptOutcome::Answered, 50ms, false, true};
        m_scheduler.attemptEnded(oldest, result, m_now, m_out);
        take();
    }

private:
    void arrive()
    {
        m_now += 1us;
        const Scheduling::RequestId id{++m_lastId};
        m_scheduler.arrive(
            {id, Scheduling::ServiceId{1}, Document::Priority::Interactive, m_now + 10s, true}, m_now, m_out);
        take();
    }

    void take()
    {
        for (const Scheduling::Decision &it : m_out) {
            if (const auto *dispatch = std::get_if<Scheduling::Dispatch>(&it)) {
                m_running.push_back(dispatch->request);
            }
        }
        m_out.clear();
    }

    Scheduling::RequestScheduler m_scheduler;
    std::uint32_t m_inFlight;
    Base::Instant m_now;
    std::uint64_t m_lastId = 0;
    std::deque<Scheduling::RequestId> m_running;
    std::vector<Scheduling::Decision> m_out;
};

/// The choice without an index: look at every target, take the least loaded.
class Scan
{
public:
    Scan(std::uint32_t targetCount, double load)
        : m_loads(targetCount)
    {
        for (std::uint32_t n = 0; n < static_cast<std::uint32_t>(targetCount * SlotsPerTarget * load); ++n) {
            occupy();
        }
    }

    void turn()
    {
        occupy();
        --m_loads[m_running.front()];
        m_running.pop_front();
    }

private:
    void occupy()
    {
        const auto it = std::min_element(m_loads.begin(), m_loads.end());
        ++*it;
        m_running.push_back(static_cast<std::uint32_t>(it - m_loads.begin()));
    }

    std::vector<std::uint32_t> m_loads;
    std::deque<std::uint32_t> m_running;
};

/// Nanoseconds per turn: the least and the median of several rounds.
struct Cost {
    double least = 0;
    double median = 0;
};

template<typename Subject>
Cost measure(std::uint32_t targetCount, double load)
{
    Subject subject(targetCount, load);
    std::vector<double> costs;
    for (int round = 0; round < Rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (int n = 0; n < Decisions; ++n) {
            subject.turn();
        }
        const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
        costs.push_back(took.count() / Decisions);
    }
    std::sort(costs.begin(), costs.end());
    return {costs.front(), costs[costs.size() / 2]};
}

template<typename Subject>
void report(const char *name, double load)
{
    for (const std::uint32_t targetCount : {10U, 100U, 600U}) {
        const Cost cost = measure<Subject>(targetCount, load);
        fmt::print(
            "{:<34} {:>7} {:>6.2f} {:>10.0f} {:>10.0f}\n", name, targetCount, load, cost.least, cost.median);
    }
}

} // namespace

int main()
{
    fmt::print("Cost of one arrival and one end of an attempt, nanoseconds, {} turns, {} rounds\n",
               Decisions,
               Rounds);
    fmt::print("{:<34} {:>7} {:>6} {:>10} {:>10}\n", "subject", "targets", "load", "least", "median");
    report<Turnover>("scheduler, free slots", 0.7);
    report<Turnover>("scheduler, through the queue", 1.1);
    report<Scan>("choice by scan only, for comparison", 0.7);
    return 0;
}
