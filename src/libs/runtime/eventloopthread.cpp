#include "eventloopthread.h"

#include <base/logline.h>

#include <boost/asio/post.hpp>

#include <pthread.h>

#include <exception>
#include <utility>

namespace Runtime
{

namespace
{

// Maximum number of handlers that run before the clock is read again.
constexpr int MaxHandlersPerClockRead = 16;

Base::Instant steadyNow()
{
    return std::chrono::time_point_cast<Base::Duration>(std::chrono::steady_clock::now());
}

} // namespace

EventLoopThread::EventLoopThread(std::string name)
    : m_name(std::move(name))
    , m_timers(&steadyNow)
    , m_work(boost::asio::make_work_guard(m_context))
{
}

// Callbacks may hold sockets of the context, as handlers in the context hold timers.
EventLoopThread::~EventLoopThread()
{
    stop();
    m_timers.clear();
}

boost::asio::io_context &EventLoopThread::context()
{
    return m_context;
}

Base::TimerService &EventLoopThread::timers()
{
    return m_timers;
}

void EventLoopThread::start()
{
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, 15).c_str());
}

void EventLoopThread::runOnCallingThread()
{
    run();
}

void EventLoopThread::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_context.stop();
    m_thread.join();
}

void EventLoopThread::post(std::function<void()> task)
{
    boost::asio::post(m_context, std::move(task));
}

std::function<void()> EventLoopThread::wake(std::function<void()> drain)
{
    return [this, drain = std::move(drain)] {
        boost::asio::post(m_context, drain);
    };
}

// An exception from a handler is a bug and may leave the state of the event loop's owner inconsistent. The
// process terminates instead of risking incorrect responses.
void EventLoopThread::run()
{
    try {
        while (!m_context.stopped()) {
            runOnce();
        }
    } catch (const std::exception &error) {
        Base::LogLine(Base::LogLevel::Error, "duty-failed").with("duty", m_name).with("error", error.what());
        std::terminate();
    }
}

void EventLoopThread::runOnce()
{
    m_timers.advanceTo(steadyNow());
    const auto due = m_timers.nextDue();
    const auto handled = due ? m_context.run_one_until(*due) : m_context.run_one();
    if (handled == 0) {
        return;
    }
    m_timers.advanceTo(steadyNow());
    for (int n = 0; n < MaxHandlersPerClockRead && m_context.poll_one() > 0; ++n) {
    }
}

} // namespace Runtime
