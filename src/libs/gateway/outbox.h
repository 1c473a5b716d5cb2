#pragma once

#include <base/oneshottimer.h>
#include <base/ring.h>

#include <deque>
#include <utility>

namespace Gateway::Internal
{

/// The producer's end of a ring whose messages must not be lost. Messages that do not fit into the ring are
/// queued in order and pushed again after RetryDelay. The queue is bounded by the number of exchanges in
/// flight, each of which has few messages.
template<typename Message>
class Outbox
{
public:
    explicit Outbox(Base::TimerService &timers)
        : m_retry(timers)
    {
    }

    void setRing(Base::Ring<Message> &ring)
    {
        m_ring = &ring;
    }

    /// Returns false and leaves `message` unchanged if it cannot be pushed now.
    bool tryPush(Message &&message)
    {
        return m_backlog.empty() && m_ring->push(std::move(message));
    }

    void push(Message &&message)
    {
        if (tryPush(std::move(message))) {
            return;
        }
        // Ring::push() leaves a message that it rejects unchanged.
        // NOLINTNEXTLINE(bugprone-use-after-move)
        m_backlog.push_back(std::move(message));
        if (m_backlog.size() == 1) {
            armRetry();
        }
    }

private:
    static constexpr Base::Duration RetryDelay = std::chrono::milliseconds{1};

    void armRetry()
    {
        m_retry.arm(RetryDelay, [this] { retry(); });
    }

    void retry()
    {
        while (!m_backlog.empty() && m_ring->push(std::move(m_backlog.front()))) {
            m_backlog.pop_front();
        }
        if (!m_backlog.empty()) {
            armRetry();
        }
    }

    Base::Ring<Message> *m_ring = nullptr;
    std::deque<Message> m_backlog;
    Base::OneShotTimer m_retry;
};

} // namespace Gateway::Internal
