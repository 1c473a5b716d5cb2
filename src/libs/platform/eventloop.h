#pragma once

#include "asioforward.h"

#include <base/timerservice.h>

#include <atomic>

namespace Platform
{

/// Moves the timer service to the steady clock's time. To be called first by every handler that the EventLoop
/// did not start itself by a timer: the loop slept, and the service's time is from before that.
void advanceToNow(Base::TimerService &timers);

/// Runs one thread: the handlers of its io_context, and its timer service by the steady clock.
class EventLoop
{
public:
    EventLoop(boost::asio::io_context &context, Base::TimerService &timers);

    /// Returns after stop(). To be called on the event loop's own thread.
    void run();

    /// May be called from any thread.
    void stop();

private:
    boost::asio::io_context &m_context;
    Base::TimerService &m_timers;
    std::atomic<bool> m_isStopping{false};
};

} // namespace Platform
