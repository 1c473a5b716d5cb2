#include "eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace Platform
{

void advanceToNow(Base::TimerService &timers)
{
    timers.advanceTo(std::chrono::time_point_cast<Base::Duration>(std::chrono::steady_clock::now()));
}

EventLoop::EventLoop(boost::asio::io_context &context, Base::TimerService &timers)
    : m_context(context)
    , m_timers(timers)
{
}

// One handler at a time: a handler may subscribe a timer that is due before the one waited for.
void EventLoop::run()
{
    const auto guard = boost::asio::make_work_guard(m_context);
    while (!m_isStopping.load()) {
        advanceToNow(m_timers);
        const auto due = m_timers.nextDue();
        if (due) {
            m_context.run_one_until(*due);
        } else {
            m_context.run_one();
        }
    }
}

void EventLoop::stop()
{
    m_isStopping.store(true);
    boost::asio::post(m_context, [] {});
}

} // namespace Platform
