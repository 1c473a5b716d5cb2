#pragma once

#include <base/timerservice.h>
#include <claims/claimcoordinator.h>

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

/// The results of one random history.
struct HistoryResult {
    std::size_t executions = 0;
    std::size_t storedAnswers = 0;
    std::size_t crashes = 0;
    std::size_t records = 0;
    std::size_t duplicateExecutions = 0; ///< keys that were executed more than once
    std::vector<std::string> violations; ///< of all other rules
};

/// One request of a caller. Requests to a member that crashes before answering get no answer.
struct Attempt {
    std::size_t key = 0;
    std::size_t member = 0;
    std::size_t answers = 0;
    std::size_t executions = 0;
    Base::Verdict verdict = Base::Verdict::MayHaveRun;
};

/// Simulates the environment of the coordinators in virtual time: callers, targets and a log that loses,
/// delays and repeats appends.
class SimulatedEnvironment
{
public:
    explicit SimulatedEnvironment(unsigned seed);

    std::size_t draw(std::size_t bound);
    bool withProbability(std::size_t percent);
    Base::Duration delay(std::size_t maxMilliseconds);

    void answer(Attempt &attempt, Base::Verdict verdict);
    void checkAttempts(const std::vector<bool> &hasCrashed);

    Base::TimerService timers;
    std::vector<std::string> log;
    std::vector<Attempt> attempts;
    HistoryResult result;

private:
    std::mt19937 m_random;
};

inline constexpr Claims::Offset HistoryWindow = 250;

/// Runs several coordinators of one type over one log. Appends fail in every possible way; members crash,
/// freeze, lag and join.
template<typename Coordinator>
class ClaimHistory
{
public:
    explicit ClaimHistory(unsigned seed)
        : m_environment(seed)
    {
        m_settings.table.window = HistoryWindow;
    }

    HistoryResult run()
    {
        for (std::size_t n = 0; n < MemberCount; ++n) {
            addMember();
        }
        for (std::size_t n = 0; n < KeyCount; ++n) {
            planAttempts(n);
        }
        for (std::size_t n = 0; n < FaultCount; ++n) {
            m_environment.timers.subscribeAfter(m_environment.delay(LoadMs), [this] { injectFault(); });
        }
        while (m_environment.timers.nextDue()
               && *m_environment.timers.nextDue() < Base::instantAt(EndOfHistory)) {
            m_environment.timers.advanceTo(*m_environment.timers.nextDue());
        }
        std::vector<bool> hasCrashed;
        for (const Member &it : m_members) {
            hasCrashed.push_back(!it.isAlive);
        }
        m_environment.checkAttempts(hasCrashed);
        m_environment.result.records = m_environment.log.size();
        return m_environment.result;
    }

private:
    static constexpr std::size_t MemberCount = 4;
    static constexpr std::size_t KeyCount = 400;
    static constexpr std::size_t MaxAttemptsPerKey = 4;
    static constexpr std::size_t FaultCount = 16;
    static constexpr std::size_t LoadMs = 40'000;
    static constexpr std::size_t RetrySpanMs = 2'000;
    static constexpr std::size_t MaxDeadlineMs = 1'200;
    static constexpr std::size_t MaxAppendDelayMs = 3'000;
    static constexpr std::size_t MaxFreezeMs = 2'500;
    static constexpr std::size_t MaxExecutionMs = 300;
    static constexpr auto EndOfHistory = std::chrono::seconds(80);

    struct Member {
        std::unique_ptr<Coordinator> coordinator;
        bool isAlive = true;
        Base::Instant frozenUntil;
        Base::TimerId tick;
        bool isReading = false; ///< a read is in progress
    };

    void addMember()
    {
        const Claims::Offset end = m_environment.log.size() + 1;
        const Claims::Offset from = end > 2 * HistoryWindow ? end - 2 * HistoryWindow : 1;
        const Base::MemberName name{"member" + std::string(1, static_cast<char>('a' + m_members.size()))};
        m_members.emplace_back();
        m_members.back().coordinator = std::make_unique<Coordinator>(m_settings, name, from);
        m_members.back().coordinator->setTail(end);
        scheduleRead(m_members.size() - 1);
    }

    // Inputs to a frozen member are delayed until it resumes.
    void deliver(std::size_t index, std::function<void(Coordinator &, Base::Instant)> handler)
    {
        Member &member = m_members[index];
        if (!member.isAlive) {
            return;
        }
        if (m_environment.timers.now() < member.frozenUntil) {
            m_environment.timers.subscribeAt(
                member.frozenUntil, [this, index, handler = std::move(handler)] { deliver(index, handler); });
            return;
        }
        handler(*member.coordinator, m_environment.timers.now());
        takeOutputs(index);
    }

    void takeOutputs(std::size_t index)
    {
        for (auto &it : m_members[index].coordinator->takeOutputs()) {
            if (const auto *append = std::get_if<Claims::AppendRecord>(&it)) {
                this->append(index, append->data);
            } else if (const auto *grant = std::get_if<Claims::Grant>(&it)) {
                execute(index, grant->requestId);
            } else {
                const auto &answer = std::get<Claims::ClaimAnswer>(it);
                m_environment.result.storedAnswers += answer.kind == Claims::AnswerKind::StoredAnswer ? 1 : 0;
                m_environment.answer(m_environment.attempts[answer.requestId], verdictOf(answer.kind));
            }
        }
        Member &member = m_members[index];
        m_environment.timers.cancel(member.tick);
        if (const auto due = member.coordinator->nextDue()) {
            member.tick = m_environment.timers.subscribeAt(*due, [this, index] {
                deliver(index, [](Coordinator &coordinator, Base::Instant now) { coordinator.tick(now); });
            });
        }
    }

    std::size_t drawMember()
    {
        std::size_t index = m_environment.draw(m_members.size());
        while (!m_members[index].isAlive) {
            index = m_environment.draw(m_members.size());
        }
        return index;
    }

    void planAttempts(std::size_t key)
    {
        const auto start = m_environment.delay(LoadMs);
        const std::size_t count = 1 + m_environment.draw(MaxAttemptsPerKey);
        for (std::size_t n = 0; n < count; ++n) {
            m_environment.timers.subscribeAfter(start + m_environment.delay(RetrySpanMs),
                                                [this, key] { startAttempt(key); });
        }
    }

    void startAttempt(std::size_t key)
    {
        const std::size_t index = drawMember();
        const std::uint64_t requestId = m_environment.attempts.size();
        m_environment.attempts.push_back({key, index});
        const std::uint64_t fingerprint = m_environment.withProbability(5) ? 1 : 2;
        const Base::Instant deadline = m_environment.timers.now() + m_environment.delay(MaxDeadlineMs);
        deliver(index, [=](Coordinator &coordinator, Base::Instant now) {
            coordinator.claim({requestId, Claims::KeyDigest{3, key}, fingerprint, deadline}, now);
        });
    }

    void append(std::size_t index, const std::string &record)
    {
        using Claims::AppendResult;
        const auto shortDelay = m_environment.delay(30);
        const auto longDelay = shortDelay + m_environment.delay(MaxAppendDelayMs);
        switch (m_environment.draw(12)) {
        case 0:
            finishAppend(index, AppendResult::Unavailable, shortDelay);
            break;
        case 1:
            finishAppend(index, AppendResult::Unknown, shortDelay);
            break;
        case 2:
            finishAppend(index, AppendResult::Unknown, shortDelay);
            appendToLog(record, longDelay);
            break;
        case 3:
            appendToLog(record, shortDelay);
            finishAppend(index, AppendResult::Unknown, longDelay);
            break;
        case 4:
            appendToLog(record, longDelay);
            appendToLog(record, longDelay + shortDelay);
            finishAppend(index, AppendResult::Unknown, shortDelay);
            break;
        case 5:
            appendToLog(record, shortDelay);
            appendToLog(record, longDelay);
            finishAppend(index, AppendResult::Appended, shortDelay);
            break;
        default:
            appendToLog(record, shortDelay);
            finishAppend(index, AppendResult::Appended, shortDelay + m_environment.delay(30));
        }
    }

    void finishAppend(std::size_t index, Claims::AppendResult result, Base::Duration after)
    {
        m_environment.timers.subscribeAfter(after, [this, index, result] {
            deliver(index, [result](Coordinator &coordinator, Base::Instant now) {
                coordinator.onAppend(result, now);
            });
        });
    }

    void appendToLog(const std::string &record, Base::Duration after)
    {
        m_environment.timers.subscribeAfter(after, [this, record] {
            m_environment.log.push_back(record);
            for (std::size_t n = 0; n < m_members.size(); ++n) {
                scheduleRead(n);
            }
        });
    }

    void scheduleRead(std::size_t index)
    {
        if (std::exchange(m_members[index].isReading, true)) {
            return;
        }
        m_environment.timers.subscribeAfter(
            m_environment.delay(m_environment.withProbability(5) ? 1500 : 40), [this, index] {
                deliver(index, [this, index](Coordinator &coordinator, Base::Instant now) {
                    m_members[index].isReading = false;
                    while (coordinator.next() <= m_environment.log.size()) {
                        coordinator.applyRecord(m_environment.log[coordinator.next() - 1], now);
                    }
                });
            });
    }

    // Dispatching is delayed after the grant because a member may be frozen in between.
    void execute(std::size_t index, std::uint64_t requestId)
    {
        m_environment.timers.subscribeAfter(m_environment.delay(3), [this, index, requestId] {
            deliver(index,
                    [this, index, requestId](Coordinator &, Base::Instant) { dispatch(index, requestId); });
        });
    }

    void dispatch(std::size_t index, std::uint64_t requestId)
    {
        const std::size_t outcomeCase = m_environment.draw(6);
        const bool runs = outcomeCase != 0 && (outcomeCase != 1 || m_environment.withProbability(50));
        m_environment.attempts[requestId].executions += runs ? 1 : 0;
        Claims::RequestOutcome outcome = Claims::RequestCompleted{200, "done"};
        auto verdict = Base::Verdict::Ran;
        if (outcomeCase == 0) {
            outcome = Claims::RequestNotRun{};
            verdict = Base::Verdict::NotRun;
        } else if (outcomeCase == 1) {
            outcome = Claims::RequestMayHaveRun{};
            verdict = Base::Verdict::MayHaveRun;
        }
        m_environment.timers.subscribeAfter(m_environment.delay(MaxExecutionMs), [=, this] {
            deliver(index, [=, this](Coordinator &coordinator, Base::Instant now) {
                m_environment.answer(m_environment.attempts[requestId], verdict);
                coordinator.onOutcome(requestId, outcome, now);
            });
        });
    }

    void injectFault()
    {
        const std::size_t index = drawMember();
        Member &member = m_members[index];
        switch (m_environment.draw(5)) {
        case 0:
        case 1:
            member.isAlive = false;
            ++m_environment.result.crashes;
            addMember();
            break;
        case 2:
            deliver(index, [this](Coordinator &coordinator, Base::Instant now) {
                coordinator.restartFrom(m_environment.log.size() + 1, now);
                coordinator.setTail(m_environment.log.size() + 1);
            });
            break;
        default:
            member.frozenUntil = m_environment.timers.now() + m_environment.delay(MaxFreezeMs);
        }
    }

    SimulatedEnvironment m_environment;
    Claims::CoordinatorSettings m_settings;
    std::vector<Member> m_members;
};
