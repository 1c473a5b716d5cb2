#pragma once

#include "timerservice.h"

#include <optional>
#include <utility>

namespace Base
{

/// A single call back that can be armed again and ends with its owner.
///
/// Most timers guard something that goes well: they are armed and disarmed for every request and hardly ever
/// fire. So a subscription is left where it is when the timer is disarmed or armed for later; when its time
/// comes it is renewed for the time that counts by then, or nothing happens.
class OneShotTimer
{
public:
    explicit OneShotTimer(TimerService &timers)
        : m_timers(timers)
    {
    }
    OneShotTimer(const OneShotTimer &) = delete;
    OneShotTimer &operator=(const OneShotTimer &) = delete;
    ~OneShotTimer()
    {
        unsubscribe();
    }

    /// Calls back once after `delay`; what it was armed for before is dropped.
    template<typename Callback>
    void arm(Duration delay, Callback callback)
    {
        armAt(m_timers.now() + delay, std::move(callback));
    }

    /// Calls back once at `when`; what it was armed for before is dropped.
    template<typename Callback>
    void armAt(Instant when, Callback callback)
    {
        m_callback = std::move(callback);
        m_due = when;
        if (!m_id || when < m_subscribedFor) {
            subscribe();
        }
    }

    void disarm()
    {
        m_callback = nullptr;
    }

private:
    void subscribe()
    {
        unsubscribe();
        m_subscribedFor = m_due;
        m_id = m_timers.subscribeAt(m_due, [this] { onTime(); });
    }

    void unsubscribe()
    {
        if (m_id) {
            m_timers.cancel(*m_id);
            m_id.reset();
        }
    }

    // The callback may end this object.
    void onTime()
    {
        m_id.reset();
        if (!m_callback) {
            return;
        }
        if (m_due > m_subscribedFor) {
            subscribe();
            return;
        }
        const auto callback = std::exchange(m_callback, nullptr);
        callback();
    }

    TimerService &m_timers;
    TimerService::Callback m_callback;
    Instant m_due;
    Instant m_subscribedFor;
    std::optional<TimerId> m_id;
};

} // namespace Base
