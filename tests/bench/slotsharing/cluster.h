#pragma once

#include "scenario.h"
#include "schemes.h"

#include <base/timerservice.h>
#include <scheduling/decision.h>
#include <scheduling/schedulerlimits.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <variant>
#include <vector>

/// What one run of a scheme came to.
struct Result {
    std::uint64_t offered = 0; ///< interactive requests that reached a running entry instance
    std::uint64_t onTime = 0; ///< of them answered by the deadline
    std::uint64_t surgeOffered = 0;
    std::uint64_t surgeOnTime = 0;
    std::uint64_t refusedAtOnce = 0; ///< before any attempt
    std::uint64_t failed = 0; ///< after an attempt, or answered late
    std::uint64_t batchOffered = 0;
    std::uint64_t batchAnswered = 0;
    std::vector<Base::Duration> latencies; ///< of answered interactive requests
    double overCommitted = 0; ///< slot seconds beyond the targets' slots
    std::uint32_t mostOverCommitted = 0; ///< slots on one target
    std::uint64_t messages = 0; ///< between entry instances
};

/// Entry instances of one scheme, targets and callers, in virtual time.
template<typename Scheme>
class Cluster
{
public:
    Cluster(const Scenario &scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_targets(scenario.targets().size())
    {
        for (std::uint32_t n = 0; n < Scenario::Entries; ++n) {
            m_entries.push_back(makeEntry(n, seed));
        }
        for (std::uint32_t n = 0; n < Scenario::Entries; ++n) {
            const auto start =
                m_scenario.isRunning(n, {}) ? Base::Duration::zero() : Base::Duration{Scenario::JoinAt};
            const auto phase = Base::Duration{
                m_random() % static_cast<std::uint64_t>(Base::Duration{Scheme::Period}.count())};
            m_timers.subscribeAfter(start + phase, [this, n] { tick(n); });
            learnEpoch(n, start);
        }
        for (const Base::Instant change : m_scenario.epochChanges()) {
            for (std::uint32_t n = 0; n < Scenario::Entries; ++n) {
                learnEpoch(n, change.time_since_epoch() + Base::Duration{m_random() % 200'000});
            }
        }
        for (std::uint32_t service = 0; service < Scenario::Services; ++service) {
            scheduleArrival(service, Document::Priority::Interactive);
            scheduleArrival(service, Document::Priority::Batch);
        }
    }

    Result run()
    {
        while (m_timers.now() < Base::instantAt(Scenario::Length + Scenario::BatchDeadline)) {
            const auto timer = m_timers.nextDue();
            if (!timer) {
                break;
            }
            m_timers.advanceTo(*timer);
        }
        m_result.messages = m_messages;
        return m_result;
    }

private:
    using Message = typename Scheme::Message;
    using Scheduler = typename Scheme::Scheduler;

    static constexpr std::chrono::milliseconds LocalDelay{1};
    static constexpr std::chrono::milliseconds ConnectTimeout{50};
    static constexpr double Loss = 0.02;

    struct Entry {
        std::unique_ptr<Scheduler> scheduler;
        std::unique_ptr<Scheme> scheme;
        std::optional<Base::Instant> wakeAt;
    };
    struct Target {
        std::uint32_t running = 0;
        std::uint32_t open = 0; ///< attempts that it knows of
        std::deque<std::uint64_t> waiting;
        Base::Instant changedAt;
    };
    struct Request {
        Scheduling::Arrival arrival;
        std::uint32_t entry = 0;
        Base::Instant arrivedAt;
        bool isSurge = false;
        bool isAnswered = false;
        std::uint32_t attempts = 0;
    };
    struct Attempt {
        std::uint64_t request = 0;
        std::uint32_t target = 0;
        Base::Instant startedAt;
        bool isOpen = false; ///< at the target
        bool isRunning = false; ///< at the target
        bool isReported = false;
    };

    Entry makeEntry(std::uint32_t n, std::uint64_t seed)
    {
        Entry entry;
        if constexpr (std::is_same_v<Scheduler, NaiveScheduler>) {
            entry.scheduler = std::make_unique<Scheduler>();
        } else {
            Scheduling::SchedulerLimits limits;
            limits.zone = m_scenario.zoneOf(n);
            entry.scheduler = std::make_unique<Scheduler>(limits, seed * Scenario::Entries + n);
        }
        entry.scheduler->setFleet(m_scenario.services(), m_scenario.targets());
        entry.scheme = std::make_unique<Scheme>(EntryView{m_scenario, n}, *entry.scheduler);
        return entry;
    }

    /// Runs the action on the entry instance: after its pause, and not at all when it is gone.
    template<typename Action>
    void onEntry(std::uint32_t n, Action action)
    {
        const Base::Instant now = m_timers.now();
        if (m_scenario.isPaused(n, now)) {
            m_timers.subscribeAt(Base::instantAt(Scenario::PauseUntil),
                                 [this, n, action] { onEntry(n, action); });
        } else if (m_scenario.isRunning(n, now)) {
            action();
            advance(n);
        }
    }

    void advance(std::uint32_t n)
    {
        Entry &entry = m_entries[n];
        std::vector<Scheduling::Decision> decisions;
        entry.scheduler->advance(m_timers.now(), decisions);
        execute(n, decisions);
        const auto due = entry.scheduler->nextDue();
        if (due && (!entry.wakeAt || *due < *entry.wakeAt)) {
            entry.wakeAt = std::max(*due, m_timers.now());
            m_timers.subscribeAt(*entry.wakeAt,
                                 [this, n] { onEntry(n, [this, n] { m_entries[n].wakeAt.reset(); }); });
        }
    }

    void tick(std::uint32_t n)
    {
        if (!m_scenario.isPaused(n, m_timers.now())) {
            m_timers.subscribeAfter(Scheme::Period, [this, n] { tick(n); });
        } else {
            m_timers.subscribeAt(Base::instantAt(Scenario::PauseUntil), [this, n] { tick(n); });
            return;
        }
        onEntry(n, [this, n] {
            std::vector<Envelope<Message>> out;
            m_entries[n].scheme->tick(m_timers.now(), out);
            post(n, out);
        });
    }

    void learnEpoch(std::uint32_t n, Base::Duration at)
    {
        m_timers.subscribeAt(Base::instantAt(at), [this, n] {
            onEntry(n, [this, n] {
                m_entries[n].scheme->setEpoch(m_scenario.epochAt(m_timers.now()), m_timers.now());
            });
        });
    }

    void post(std::uint32_t from, std::vector<Envelope<Message>> &out)
    {
        for (auto &it : out) {
            ++m_messages;
            const bool isLost = std::bernoulli_distribution(Loss)(m_random);
            if (isLost
                || m_scenario.isCutOff(m_scenario.zoneOf(from), m_scenario.zoneOf(it.to), m_timers.now())) {
                continue;
            }
            std::exponential_distribution<double> jitter(1.0 / 500); // microseconds
            const Base::Duration delay =
                LocalDelay + Base::Duration{static_cast<Base::Duration::rep>(jitter(m_random))};
            m_timers.subscribeAfter(delay, [this, to = it.to, message = std::move(it.message)] {
                onEntry(to, [this, to, message] {
                    std::vector<Envelope<Message>> answers;
                    m_entries[to].scheme->receive(message, m_timers.now(), answers);
                    post(to, answers);
                });
            });
        }
    }

    void scheduleArrival(std::uint32_t service, Document::Priority priority)
    {
        const bool isBatch = priority == Document::Priority::Batch;
        const double rate = isBatch ? m_scenario.batchRate() : m_scenario.rateOf(service, m_timers.now());
        const double gap = std::exponential_distribution<double>(rate / 1e6)(m_random);
        m_timers.subscribeAfter(Base::Duration{static_cast<Base::Duration::rep>(gap)},
                                [this, service, priority] {
                                    if (m_timers.now() < Base::instantAt(Scenario::Length)) {
                                        arrive(service, priority);
                                        scheduleArrival(service, priority);
                                    }
                                });
    }

    void arrive(std::uint32_t service, Document::Priority priority)
    {
        const Base::Instant now = m_timers.now();
        const std::uint32_t n = m_scenario.drawEntry(service, now, m_random);
        const bool isBatch = priority == Document::Priority::Batch;
        Request request;
        request.entry = n;
        request.arrivedAt = now;
        const Base::Duration deadline =
            isBatch ? Base::Duration{Scenario::BatchDeadline} : Base::Duration{Scenario::InteractiveDeadline};
        const bool isIdempotent = isBatch || m_random() % 2 == 0;
        request.arrival = {Scheduling::RequestId{m_requests.size()},
                           Scheduling::ServiceId{service + 1},
                           priority,
                           now + deadline,
                           isIdempotent};
        request.isSurge = !isBatch && m_scenario.rateOf(service, now) > m_scenario.rateOf(service, {});
        m_requests.push_back(request);
        if (!m_scenario.isRunning(n, now)) {
            return;
        }
        m_result.offered += isBatch ? 0 : 1;
        m_result.surgeOffered += request.isSurge ? 1 : 0;
        m_result.batchOffered += isBatch ? 1 : 0;
        onEntry(n, [this, n, arrival = request.arrival] {
            std::vector<Scheduling::Decision> decisions;
            m_entries[n].scheduler->arrive(arrival, m_timers.now(), decisions);
            execute(n, decisions);
        });
    }

    void execute(std::uint32_t n, const std::vector<Scheduling::Decision> &decisions)
    {
        for (const auto &it : decisions) {
            if (const auto *dispatch = std::get_if<Scheduling::Dispatch>(&it)) {
                send(n, *dispatch);
            } else if (const auto *refuse = std::get_if<Scheduling::Refuse>(&it)) {
                const Request &request = m_requests[refuse->request.value];
                const bool isInteractive = request.arrival.priority == Document::Priority::Interactive;
                m_result.refusedAtOnce += isInteractive && request.attempts == 0 ? 1 : 0;
                m_result.failed += isInteractive && request.attempts > 0 ? 1 : 0;
            } else {
                deliver(m_requests[std::get<Scheduling::Deliver>(it).request.value]);
            }
        }
    }

    void deliver(const Request &request)
    {
        if (request.arrival.priority == Document::Priority::Batch) {
            ++m_result.batchAnswered;
            return;
        }
        const bool isOnTime = m_timers.now() <= request.arrival.deadline;
        m_result.onTime += isOnTime ? 1 : 0;
        m_result.surgeOnTime += isOnTime && request.isSurge ? 1 : 0;
        m_result.failed += isOnTime ? 0 : 1;
        m_result.latencies.push_back(m_timers.now() - request.arrivedAt);
    }

    bool canReach(std::uint32_t n, std::uint32_t target) const
    {
        return !m_scenario.isCutOff(m_scenario.zoneOf(n), m_scenario.targets()[target].zone, m_timers.now());
    }

    void send(std::uint32_t n, const Scheduling::Dispatch &dispatch)
    {
        const std::uint64_t id = m_attempts.size();
        const std::uint32_t index = dispatch.target.value - 1;
        m_attempts.push_back({dispatch.request.value, index, m_timers.now(), false, false, false});
        ++m_requests[dispatch.request.value].attempts;
        Target &target = m_targets[index];
        const bool isFull = target.open >= m_scenario.targets()[index].connections;
        if (isFull || !canReach(n, index)) {
            const Base::Duration delay = isFull ? Base::Duration{LocalDelay} : Base::Duration{ConnectTimeout};
            m_timers.subscribeAfter(delay,
                                    [this, id] { report(id, Scheduling::AttemptOutcome::ConnectFailed); });
            return;
        }
        m_timers.subscribeAt(dispatch.attemptDeadline,
                             [this, id] { report(id, Scheduling::AttemptOutcome::TimedOut); });
        m_attempts[id].isOpen = true;
        changeOpen(index, 1);
        target.waiting.push_back(id);
        startWaiting(index);
    }

    void startWaiting(std::uint32_t index)
    {
        Target &target = m_targets[index];
        while (target.running < m_scenario.targets()[index].slots && !target.waiting.empty()) {
            const std::uint64_t id = target.waiting.front();
            target.waiting.pop_front();
            if (!m_attempts[id].isOpen) {
                continue;
            }
            m_attempts[id].isRunning = true;
            ++target.running;
            const bool isBatch =
                m_requests[m_attempts[id].request].arrival.priority == Document::Priority::Batch;
            const Base::Duration mean = isBatch ? Base::Duration{Scenario::BatchRunTime}
                                                : Base::Duration{Scenario::InteractiveRunTime};
            std::exponential_distribution<double> draw(1.0 / static_cast<double>(mean.count()));
            m_timers.subscribeAfter(Base::Duration{static_cast<Base::Duration::rep>(draw(m_random))},
                                    [this, id] {
                                        close(id);
                                        report(id, Scheduling::AttemptOutcome::Answered);
                                    });
        }
    }

    /// The target is done with the attempt, or saw its connection end.
    void close(std::uint64_t id)
    {
        Attempt &attempt = m_attempts[id];
        if (!std::exchange(attempt.isOpen, false)) {
            return;
        }
        changeOpen(attempt.target, -1);
        if (std::exchange(attempt.isRunning, false)) {
            --m_targets[attempt.target].running;
        }
        startWaiting(attempt.target);
    }

    void report(std::uint64_t id, Scheduling::AttemptOutcome outcome)
    {
        const std::uint32_t n = m_requests[m_attempts[id].request].entry;
        if (!canReach(n, m_attempts[id].target) && outcome == Scheduling::AttemptOutcome::Answered) {
            return;
        }
        onEntry(n, [this, id, n, outcome] {
            Attempt &attempt = m_attempts[id];
            if (std::exchange(attempt.isReported, true)) {
                return;
            }
            if (canReach(n, attempt.target)) {
                close(id);
            }
            const Scheduling::AttemptResult result{outcome, m_timers.now() - attempt.startedAt, false, true};
            std::vector<Scheduling::Decision> decisions;
            const Scheduling::RequestId request{attempt.request};
            m_entries[n].scheduler->attemptEnded(request, result, m_timers.now(), decisions);
            execute(n, decisions);
        });
    }

    void changeOpen(std::uint32_t index, int change)
    {
        Target &target = m_targets[index];
        const std::uint32_t slots = m_scenario.targets()[index].slots;
        const std::uint32_t over = target.open > slots ? target.open - slots : 0;
        const std::chrono::duration<double> since = m_timers.now() - target.changedAt;
        m_result.overCommitted += over * since.count();
        target.changedAt = m_timers.now();
        target.open += static_cast<std::uint32_t>(change);
        m_result.mostOverCommitted =
            std::max(m_result.mostOverCommitted, target.open > slots ? target.open - slots : 0);
    }

    const Scenario &m_scenario;
    std::mt19937_64 m_random;
    Base::TimerService m_timers;
    std::vector<Entry> m_entries;
    std::vector<Target> m_targets;
    std::deque<Request> m_requests;
    std::deque<Attempt> m_attempts;
    std::uint64_t m_messages = 0;
    Result m_result;
};
