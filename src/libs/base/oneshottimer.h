#pragma once

#include "timerservice.h"

#include <optional>
#include <utility>

namespace Base
{

/// A single subscription that can be armed again and ends with its owner.
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
        disarm();
    }

    /// Calls back once after `delay`; a subscription from before is dropped.
    template<typename Callback>
    void arm(Duration delay, Callback callback)
    {
        armAt(m_timers.now() + delay, std::move(callback));
    }

    /// Calls back once at `when`; a subscription from before is dropped.
    template<typename Callback>
    void armAt(Instant when, Callback callback)
    {
        disarm();
        m_id = m_timers.subscribeAt(when, [this, callback = std::move(callback)]() mutable {
            m_id.reset();
            callback();
        });
    }

    void disarm()
    {
        if (m_id) {
            m_timers.cancel(*m_id);
            m_id.reset();
        }
    }

private:
    TimerService &m_timers;
    std::optional<TimerId> m_id;
};

} // namespace Base
