#pragma once

#include <base/timerservice.h>
#include <claims/claimdesk.h>

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

/// What one random history led to.
struct HistoryResult {
    std::size_t executions = 0;
    std::size_t storedAnswers = 0;
    std::size_t crashes = 0;
    std::size_t records = 0;
    std::size_t doubleExecutions = 0; ///< keys that ran more than once
    std::vector<std::string> violations; ///< of any other rule
};

/// One request of a caller. Those at a member that crashed meanwhile get no answer.
struct Attempt {
    std::size_t key = 0;
    std::size_t member = 0;
    std::size_t answers = 0;
    std::size_t executions = 0;
    Base::Verdict verdict = Base::Verdict::MayHaveRun;
};

/// The world around the desks: callers, targets and a log that loses, delays and repeats, in virtual time.
class HistoryWorld
{
public:
    explicit HistoryWorld(unsigned seed);

    std::size_t draw(std::size_t bound);
    bool happens(std::size_t percent);
    Base::Duration delay(std::size_t longestMilliseconds);

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

/// Runs several desks of one kind over one log: appends fail in each way, members crash, freeze, lag and
/// start.
template<typename Desk>
class ClaimHistory
{
public:
    explicit ClaimHistory(unsigned seed)
        : m_world(seed)
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
        for (std::size_t n = 0; n < TroubleCount; ++n) {
            m_world.timers.subscribeAfter(m_world.delay(LoadMs), [this] { trouble(); });
        }
        while (m_world.timers.nextDue() && *m_world.timers.nextDue() < Base::instantAt(EndOfHistory)) {
            m_world.timers.advanceTo(*m_world.timers.nextDue());
        }
        std::vector<bool> hasCrashed;
        for (const Member &it : m_members) {
            hasCrashed.push_back(!it.isAlive);
        }
        m_world.checkAttempts(hasCrashed);
        m_world.result.records = m_world.log.size();
        return m_world.result;
    }

private:
    static constexpr std::size_t MemberCount = 4;
    static constexpr std::size_t KeyCount = 400;
    static constexpr std::size_t MaxAttemptsPerKey = 4;
    static constexpr std::size_t TroubleCount = 16;
    static constexpr std::size_t LoadMs = 40'000;
    static constexpr std::size_t RetrySpanMs = 2'000;
    static constexpr std::size_t LongestDeadlineMs = 1'200;
    static constexpr std::size_t LatestEffectMs = 3'000;
    static constexpr std::size_t LongestFreezeMs = 2'500;
    static constexpr std::size_t LongestExecutionMs = 300;
    static constexpr auto EndOfHistory = std::chrono::seconds(80);

    struct Member {
        std::unique_ptr<Desk> desk;
        bool isAlive = true;
        Base::Instant frozenUntil;
        Base::TimerId tick;
        bool hasRead = false; ///< a read is under way
    };

    void addMember()
    {
        const Claims::Offset end = m_world.log.size() + 1;
        const Claims::Offset from = end > 2 * HistoryWindow ? end - 2 * HistoryWindow : 1;
        const Base::MemberName name{"member" + std::string(1, static_cast<char>('a' + m_members.size()))};
        m_members.emplace_back();
        m_members.back().desk = std::make_unique<Desk>(m_settings, name, from);
        m_members.back().desk->setTail(end);
        readSoon(m_members.size() - 1);
    }

    // Inputs of a frozen member wait until it resumes.
    void input(std::size_t index, std::function<void(Desk &, Base::Instant)> act)
    {
        Member &member = m_members[index];
        if (!member.isAlive) {
            return;
        }
        if (m_world.timers.now() < member.frozenUntil) {
            m_world.timers.subscribeAt(member.frozenUntil,
                                       [this, index, act = std::move(act)] { input(index, act); });
            return;
        }
        act(*member.desk, m_world.timers.now());
        takeOutputs(index);
    }

    void takeOutputs(std::size_t index)
    {
        for (auto &it : m_members[index].desk->takeOutputs()) {
            if (const auto *append = std::get_if<Claims::AppendRecord>(&it)) {
                this->append(index, append->data);
            } else if (const auto *grant = std::get_if<Claims::Grant>(&it)) {
                execute(index, grant->requestId);
            } else {
                const auto &answer = std::get<Claims::ClaimAnswer>(it);
                m_world.result.storedAnswers += answer.kind == Claims::AnswerKind::StoredAnswer ? 1 : 0;
                m_world.answer(m_world.attempts[answer.requestId], verdictOf(answer.kind));
            }
        }
        Member &member = m_members[index];
        m_world.timers.cancel(member.tick);
        if (const auto due = member.desk->nextDue()) {
            member.tick = m_world.timers.subscribeAt(
                *due, [this, index] { input(index, [](Desk &desk, Base::Instant now) { desk.tick(now); }); });
        }
    }

    std::size_t drawMember()
    {
        std::size_t index = m_world.draw(m_members.size());
        while (!m_members[index].isAlive) {
            index = m_world.draw(m_members.size());
        }
        return index;
    }

    void planAttempts(std::size_t key)
    {
        const auto start = m_world.delay(LoadMs);
        const std::size_t count = 1 + m_world.draw(MaxAttemptsPerKey);
        for (std::size_t n = 0; n < count; ++n) {
            m_world.timers.subscribeAfter(start + m_world.delay(RetrySpanMs),
                                          [this, key] { startAttempt(key); });
        }
    }

    void startAttempt(std::size_t key)
    {
        const std::size_t index = drawMember();
        const std::uint64_t requestId = m_world.attempts.size();
        m_world.attempts.push_back({key, index});
        const std::uint64_t fingerprint = m_world.happens(5) ? 1 : 2;
        const Base::Instant deadline = m_world.timers.now() + m_world.delay(LongestDeadlineMs);
        input(index, [=](Desk &desk, Base::Instant now) {
            desk.claim({requestId, Claims::KeyDigest{3, key}, fingerprint, deadline}, now);
        });
    }

    void append(std::size_t index, const std::string &record)
    {
        using Claims::AppendResult;
        const auto soon = m_world.delay(30);
        const auto late = soon + m_world.delay(LatestEffectMs);
        switch (m_world.draw(12)) {
        case 0:
            finishAppend(index, AppendResult::Unavailable, soon);
            break;
        case 1:
            finishAppend(index, AppendResult::Unknown, soon);
            break;
        case 2:
            finishAppend(index, AppendResult::Unknown, soon);
            takeEffect(record, late);
            break;
        case 3:
            takeEffect(record, soon);
            finishAppend(index, AppendResult::Unknown, late);
            break;
        case 4:
            takeEffect(record, late);
            takeEffect(record, late + soon);
            finishAppend(index, AppendResult::Unknown, soon);
            break;
        case 5:
            takeEffect(record, soon);
            takeEffect(record, late);
            finishAppend(index, AppendResult::Appended, soon);
            break;
        default:
            takeEffect(record, soon);
            finishAppend(index, AppendResult::Appended, soon + m_world.delay(30));
        }
    }

    void finishAppend(std::size_t index, Claims::AppendResult result, Base::Duration after)
    {
        m_world.timers.subscribeAfter(after, [this, index, result] {
            input(index, [result](Desk &desk, Base::Instant now) { desk.onAppend(result, now); });
        });
    }

    void takeEffect(const std::string &record, Base::Duration after)
    {
        m_world.timers.subscribeAfter(after, [this, record] {
            m_world.log.push_back(record);
            for (std::size_t n = 0; n < m_members.size(); ++n) {
                readSoon(n);
            }
        });
    }

    void readSoon(std::size_t index)
    {
        if (std::exchange(m_members[index].hasRead, true)) {
            return;
        }
        m_world.timers.subscribeAfter(m_world.delay(m_world.happens(5) ? 1500 : 40), [this, index] {
            input(index, [this, index](Desk &desk, Base::Instant now) {
                m_members[index].hasRead = false;
                while (desk.next() <= m_world.log.size()) {
                    desk.fold(m_world.log[desk.next() - 1], now);
                }
            });
        });
    }

    // The dispatch comes after the grant, and a member may be frozen in between.
    void execute(std::size_t index, std::uint64_t requestId)
    {
        m_world.timers.subscribeAfter(m_world.delay(3), [this, index, requestId] {
            input(index, [this, index, requestId](Desk &, Base::Instant) { dispatch(index, requestId); });
        });
    }

    void dispatch(std::size_t index, std::uint64_t requestId)
    {
        const std::size_t fate = m_world.draw(6);
        const bool runs = fate != 0 && (fate != 1 || m_world.happens(50));
        m_world.attempts[requestId].executions += runs ? 1 : 0;
        Claims::RequestOutcome outcome = Claims::RequestCompleted{200, "done"};
        auto verdict = Base::Verdict::Ran;
        if (fate == 0) {
            outcome = Claims::RequestNotRun{};
            verdict = Base::Verdict::NotRun;
        } else if (fate == 1) {
            outcome = Claims::RequestMayHaveRun{};
            verdict = Base::Verdict::MayHaveRun;
        }
        m_world.timers.subscribeAfter(m_world.delay(LongestExecutionMs), [=, this] {
            input(index, [=, this](Desk &desk, Base::Instant now) {
                m_world.answer(m_world.attempts[requestId], verdict);
                desk.onOutcome(requestId, outcome, now);
            });
        });
    }

    void trouble()
    {
        const std::size_t index = drawMember();
        Member &member = m_members[index];
        switch (m_world.draw(5)) {
        case 0:
        case 1:
            member.isAlive = false;
            ++m_world.result.crashes;
            addMember();
            break;
        case 2:
            input(index, [this](Desk &desk, Base::Instant now) {
                desk.startOver(m_world.log.size() + 1, now);
                desk.setTail(m_world.log.size() + 1);
            });
            break;
        default:
            member.frozenUntil = m_world.timers.now() + m_world.delay(LongestFreezeMs);
        }
    }

    HistoryWorld m_world;
    Claims::DeskSettings m_settings;
    std::vector<Member> m_members;
};
