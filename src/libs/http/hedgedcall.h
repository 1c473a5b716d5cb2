#pragma once

#include "client.h"
#include "hedgepolicy.h"

#include <base/logline.h>
#include <base/oneshottimer.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Http
{

/// What the sender of hedged calls needs of a client.
template<typename T>
concept Transport = requires(T &client,
                             const Ini::Endpoint &server,
                             Request request,
                             const TimeLimits &limits,
                             Client::Progress progress,
                             Client::Callback done,
                             CallId id)
{
    {
        client.send(server, request, limits, progress, done)
        } -> std::same_as<CallId>;
    client.abandon(server, id);
};

/// A call that may be repeated without a further effect.
struct RepeatableCall {
    Ini::Endpoint server;
    Request request;
    TimeLimits limits{};
    Base::Duration hold{}; ///< for which the server is asked to wait before it answers
    std::string_view kind; ///< for logs
};

/// Sends a call, and sends it again on another connection while its answer is overdue. The first conclusive
/// answer counts; attempts without an answer are abandoned with it.
///
/// An answer other than 2xx to 4xx, or 429, says that its own attempt has done nothing, and no more. Where
/// another attempt of a POST may have been executed, the outcome of the call is MayHaveRun without a
/// response.
template<Transport Sender>
class HedgedCall : public std::enable_shared_from_this<HedgedCall<Sender>>
{
public:
    HedgedCall(Sender &sender,
               Base::TimerService &timers,
               HedgePolicy &policy,
               RepeatableCall call,
               Client::Progress progress,
               Client::Callback done)
        : m_sender(sender)
        , m_timers(timers)
        , m_policy(policy)
        , m_call(std::move(call))
        , m_deadline(timers.now() + m_call.limits.whole)
        , m_progress(std::move(progress))
        , m_done(std::move(done))
        , m_timer(timers)
    {
    }

    /// `policy` and the transport must outlive the call.
    void start()
    {
        sendAttempt();
    }

private:
    struct Attempt {
        CallId id{};
        Base::Instant sentAt;
        bool isOpen = true;
    };

    void sendAttempt()
    {
        const std::size_t n = m_attempts.size();
        const Base::Instant now = m_timers.now();
        m_attempts.push_back({.sentAt = now});
        armNext();
        const CallId id = m_sender.send(
            m_call.server,
            m_call.request,
            {m_deadline - now, std::min(m_call.limits.silence, m_deadline - now)},
            [self = this->shared_from_this()](std::size_t bytes) { self->receives(bytes); },
            [self = this->shared_from_this(), n](Outcome outcome) { self->ended(n, std::move(outcome)); });
        m_attempts[n].id = id;
    }

    void armNext()
    {
        const auto delay = m_policy.delayAfter(static_cast<int>(m_attempts.size()));
        const Base::Instant now = m_timers.now();
        if (!delay || now + m_call.hold + *delay >= m_deadline) {
            return;
        }
        m_timer.armAt(now + m_call.hold + *delay, [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->m_done && !self->m_isReceiving && self->m_policy.takeAttempt()) {
                self->sendAttempt();
            }
        });
    }

    // An answer that arrives is worth waiting for, however large it is.
    void receives(std::size_t bytes)
    {
        m_isReceiving = true;
        if (m_done && m_progress) {
            m_progress(bytes);
        }
    }

    static bool isConclusive(const Outcome &outcome)
    {
        return outcome.response && outcome.response->status < 500 && outcome.response->status != 429;
    }

    void ended(std::size_t n, Outcome outcome)
    {
        m_attempts[n].isOpen = false;
        if (!m_done) {
            return;
        }
        m_isReceiving = false;
        if (isConclusive(outcome)) {
            noteAnswer(n, outcome);
            finish(std::move(outcome));
            return;
        }
        m_mayHaveRun = m_mayHaveRun || (!outcome.response && outcome.verdict != Base::Verdict::NotRun);
        const bool isLast =
            std::none_of(m_attempts.begin(), m_attempts.end(), [](const Attempt &it) { return it.isOpen; });
        if (!isLast) {
            return;
        }
        if (m_mayHaveRun && m_call.request.method != "GET") {
            outcome.response.reset();
            outcome.verdict = Base::Verdict::MayHaveRun;
        }
        finish(std::move(outcome));
    }

    void noteAnswer(std::size_t n, const Outcome &outcome)
    {
        const Base::Duration elapsed = m_timers.now() - m_attempts[n].sentAt;
        const Base::Duration latency = outcome.firstByteAfter.value_or(elapsed) - m_call.hold;
        m_policy.answered(std::max(latency, Base::Duration{}), static_cast<int>(m_attempts.size()), n == 0);
        if (n > 0) {
            const auto waited = m_timers.now() - m_attempts.front().sentAt;
            Base::LogLine(Base::LogLevel::Info, "overdue-call-answered")
                .with("kind", m_call.kind)
                .with("attempt", n + 1)
                .with("attempts", m_attempts.size())
                .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count());
        }
    }

    void finish(Outcome outcome)
    {
        m_timer.disarm();
        const auto done = std::exchange(m_done, nullptr);
        for (Attempt &it : m_attempts) {
            if (std::exchange(it.isOpen, false)) {
                m_sender.abandon(m_call.server, it.id);
            }
        }
        done(std::move(outcome));
    }

    Sender &m_sender;
    Base::TimerService &m_timers;
    HedgePolicy &m_policy;
    RepeatableCall m_call;
    Base::Instant m_deadline;
    Client::Progress m_progress;
    Client::Callback m_done;
    Base::OneShotTimer m_timer;
    std::vector<Attempt> m_attempts;
    bool m_isReceiving = false;
    bool m_mayHaveRun = false;
};

} // namespace Http
