#pragma once

#include <base/timerservice.h>
#include <scheduling/attempt.h>
#include <scheduling/decision.h>
#include <scheduling/fleetspecs.h>
#include <scheduling/schedulerlimits.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

/// How a simulated target handles requests.
enum class Behaviour {
    Serves,
    RefusesConnections,
    FailsFast, ///< answers with an error immediately
    FailsSlowly, ///< uses a slot much longer than a successful request, then answers with an error
    Silent, ///< accepts requests and never answers
};

/// The history and outcome of one simulated request.
struct RequestRecord {
    Scheduling::Arrival arrival;
    Base::Instant arrivedAt;
    Base::Instant endedAt;
    bool isFaulty = false; ///< breaks the connection on every target
    std::uint32_t attempts = 0;
    std::uint32_t executions = 0;
    std::uint32_t outcomes = 0;
    bool isDelivered = false;
    bool isSuccessful = false;
    Scheduling::Refuse refusal;

    bool isOnTime() const
    {
        return isSuccessful && endedAt <= arrival.deadline;
    }
};

/// Requests of one kind with exponentially distributed interarrival times.
struct Load {
    Scheduling::ServiceId service{1};
    Document::Priority priority = Document::Priority::Interactive;
    double perSecond = 0;
    Base::Duration from{};
    Base::Duration until{};
    Base::Duration deadline{};
    bool isIdempotent = true;
    double faultyShare = 0;
};

inline std::vector<Scheduling::TargetSpec> targetsOf(std::uint32_t count, const Base::PoolName &pool)
{
    std::vector<Scheduling::TargetSpec> targets;
    for (std::uint32_t n = 1; n <= count; ++n) {
        targets.push_back(
            {Scheduling::TargetId{n}, {"instance" + std::to_string(n)}, pool, {}, 8, 64, false});
    }
    return targets;
}

/// Runs a scheduler in virtual time against simulated targets. Each target executes `slots` requests
/// concurrently, queues further requests and refuses connections beyond its limit.
template<typename Scheduler>
class Simulation
{
public:
    Simulation(Scheduler &scheduler, std::span<const Scheduling::TargetSpec> targets, std::uint64_t seed)
        : m_scheduler(scheduler)
        , m_random(seed)
    {
        for (const auto &it : targets) {
            m_targets[it.id.value].spec = it;
        }
    }

    void setBehaviour(std::uint32_t target, Behaviour behaviour)
    {
        m_targets[target].behaviour = behaviour;
    }

    void setRunTime(Document::Priority priority, Base::Duration mean)
    {
        m_meanRunTime[Scheduling::indexOf(priority)] = mean;
    }

    void addLoad(const Load &load)
    {
        std::exponential_distribution<double> gap(load.perSecond);
        double at = static_cast<double>(load.from.count()) / 1e6 + gap(m_random);
        while (at * 1e6 < static_cast<double>(load.until.count())) {
            const auto when = Base::instantAt(Base::Duration{static_cast<Base::Duration::rep>(at * 1e6)});
            const bool isFaulty = std::bernoulli_distribution(load.faultyShare)(m_random);
            m_timers.subscribeAt(when, [this, load, isFaulty] { arrive(load, isFaulty); });
            at += gap(m_random);
        }
    }

    template<typename Action>
    void at(Base::Duration when, Action action)
    {
        m_timers.subscribeAt(Base::instantAt(when), action);
    }

    /// Runs until all events are processed and all requests have ended.
    void run()
    {
        while (true) {
            const auto timer = m_timers.nextDue();
            const auto due = m_scheduler.nextDue();
            if (!timer && (!due || hasEnded())) {
                return;
            }
            const bool isScheduler = due && (!timer || *due <= *timer);
            m_timers.advanceTo(isScheduler ? std::max(*due, m_timers.now()) : *timer);
            if (isScheduler) {
                m_scheduler.advance(m_timers.now(), m_decisions);
                execute();
            }
        }
    }

    std::vector<RequestRecord> records() const
    {
        return {m_records.begin(), m_records.end()};
    }

    std::uint32_t maxInFlight() const
    {
        return m_maxInFlight;
    }

private:
    static constexpr std::chrono::milliseconds FastFailure{1};
    static constexpr int SlowFailure = 20; // times the mean run time

    struct TargetModel {
        Scheduling::TargetSpec spec;
        Behaviour behaviour = Behaviour::Serves;
        std::uint32_t connections = 0;
        std::uint32_t running = 0;
        std::deque<std::uint64_t> waiting; // attempts
    };
    struct Attempt {
        std::uint64_t request = 0;
        std::uint32_t target = 0;
        Base::Instant startedAt;
        bool hasEnded = false;
    };

    bool hasEnded() const
    {
        return std::all_of(
            m_records.begin(), m_records.end(), [](const RequestRecord &it) { return it.outcomes > 0; });
    }

    void arrive(const Load &load, bool isFaulty)
    {
        RequestRecord &record = m_records.emplace_back();
        record.arrival = {Scheduling::RequestId{m_records.size()},
                          load.service,
                          load.priority,
                          m_timers.now() + load.deadline,
                          load.isIdempotent};
        record.arrivedAt = m_timers.now();
        record.isFaulty = isFaulty;
        m_scheduler.arrive(record.arrival, m_timers.now(), m_decisions);
        execute();
    }

    void execute()
    {
        const auto decisions = std::exchange(m_decisions, {});
        for (const auto &decision : decisions) {
            if (const auto *dispatch = std::get_if<Scheduling::Dispatch>(&decision)) {
                send(*dispatch);
            } else if (const auto *refuse = std::get_if<Scheduling::Refuse>(&decision)) {
                RequestRecord &record = recordOf(refuse->request.value);
                record.refusal = *refuse;
                end(record);
            } else if (const auto *deliver = std::get_if<Scheduling::Deliver>(&decision)) {
                RequestRecord &record = recordOf(deliver->request.value);
                record.isDelivered = true;
                end(record);
            }
        }
    }

    void end(RequestRecord &record)
    {
        ++record.outcomes;
        record.endedAt = m_timers.now();
    }

    RequestRecord &recordOf(std::uint64_t request)
    {
        return m_records[request - 1];
    }

    void send(const Scheduling::Dispatch &dispatch)
    {
        using Outcome = Scheduling::AttemptOutcome;
        const std::uint64_t id = m_attempts.size();
        m_attempts.push_back({dispatch.request.value, dispatch.target.value, m_timers.now(), false});
        TargetModel &target = m_targets[dispatch.target.value];
        RequestRecord &record = recordOf(dispatch.request.value);
        ++record.attempts;
        const bool isFull = target.connections >= target.spec.connections;
        ++target.connections;
        m_maxInFlight = std::max(m_maxInFlight, target.connections);
        m_timers.subscribeAt(dispatch.attemptDeadline, [this, id] { report(id, Outcome::TimedOut, false); });
        if (isFull || target.behaviour == Behaviour::RefusesConnections) {
            reportAfter(FastFailure, id, Outcome::ConnectFailed);
        } else if (record.isFaulty) {
            ++record.executions;
            reportAfter(FastFailure, id, Outcome::ConnectionLostAfterSend);
        } else if (target.behaviour == Behaviour::FailsFast) {
            ++record.executions;
            reportAfter(FastFailure, id, Outcome::Answered, true);
        } else if (target.behaviour == Behaviour::Silent) {
            ++record.executions;
        } else {
            target.waiting.push_back(id);
            startWaiting(target);
        }
    }

    void startWaiting(TargetModel &target)
    {
        while (target.running < target.spec.slots && !target.waiting.empty()) {
            const std::uint64_t id = target.waiting.front();
            target.waiting.pop_front();
            ++target.running;
            RequestRecord &record = recordOf(m_attempts[id].request);
            ++record.executions;
            const bool isFailing = target.behaviour == Behaviour::FailsSlowly;
            m_timers.subscribeAfter(runTime(record, isFailing), [this, id, isFailing] {
                TargetModel &model = m_targets[m_attempts[id].target];
                --model.running;
                report(id, Scheduling::AttemptOutcome::Answered, isFailing);
                startWaiting(model);
            });
        }
    }

    Base::Duration runTime(const RequestRecord &record, bool isFailing)
    {
        const auto mean = m_meanRunTime[Scheduling::indexOf(record.arrival.priority)];
        if (isFailing) {
            return mean * SlowFailure;
        }
        std::exponential_distribution<double> draw(1.0 / static_cast<double>(mean.count()));
        return Base::Duration{static_cast<Base::Duration::rep>(draw(m_random))};
    }

    void reportAfter(Base::Duration delay,
                     std::uint64_t id,
                     Scheduling::AttemptOutcome outcome,
                     bool isError = false)
    {
        m_timers.subscribeAfter(delay, [this, id, outcome, isError] { report(id, outcome, isError); });
    }

    void report(std::uint64_t id, Scheduling::AttemptOutcome outcome, bool isServerError)
    {
        Attempt &attempt = m_attempts[id];
        if (std::exchange(attempt.hasEnded, true)) {
            return;
        }
        --m_targets[attempt.target].connections;
        RequestRecord &record = recordOf(attempt.request);
        const bool isAnswered = outcome == Scheduling::AttemptOutcome::Answered;
        record.isSuccessful = record.isSuccessful || (isAnswered && !isServerError);
        const auto latency = m_timers.now() - attempt.startedAt;
        const Scheduling::AttemptResult result{outcome, latency, isServerError, true};
        m_scheduler.attemptEnded(Scheduling::RequestId{attempt.request}, result, m_timers.now(), m_decisions);
        execute();
    }

    Scheduler &m_scheduler;
    std::mt19937_64 m_random;
    Base::TimerService m_timers;
    std::unordered_map<std::uint32_t, TargetModel> m_targets;
    std::deque<RequestRecord> m_records;
    std::deque<Attempt> m_attempts;
    std::vector<Scheduling::Decision> m_decisions;
    std::array<Base::Duration, Scheduling::PriorityCount> m_meanRunTime{
        std::chrono::milliseconds{50}, std::chrono::milliseconds{50}, std::chrono::milliseconds{50}};
    std::uint32_t m_maxInFlight = 0;
};

/// Returns a percentile of the latencies of the successful requests; 0.99 is the 99th.
inline Base::Duration
latencyPercentile(double percentile, const std::vector<RequestRecord> &records, Document::Priority priority)
{
    std::vector<Base::Duration> latencies;
    for (const RequestRecord &it : records) {
        if (it.isSuccessful && it.arrival.priority == priority) {
            latencies.push_back(it.endedAt - it.arrivedAt);
        }
    }
    if (latencies.empty()) {
        return Base::Duration::max();
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(percentile * static_cast<double>(latencies.size() - 1))];
}
