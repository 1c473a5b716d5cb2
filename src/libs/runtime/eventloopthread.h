#pragma once

#include <base/timerservice.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <thread>

namespace Runtime
{

/// A thread with its own Asio context and timer service. All code that belongs to it runs on its thread.
/// Other threads communicate with it through a ring buffer whose wake function is created by wake().
class EventLoopThread
{
public:
    explicit EventLoopThread(std::string name);
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;
    ~EventLoopThread();

    boost::asio::io_context &context();
    Base::TimerService &timers();

    void start();

    /// Runs the event loop on the calling thread until its context is stopped.
    void runOnCallingThread();

    /// Stops the context after the current handler and joins the thread.
    void stop();

    /// Runs `task` on the event loop's thread; may be called from any thread.
    void post(std::function<void()> task);

    /// Returns a wake function for a ring buffer; it schedules `drain` on this event loop's thread.
    std::function<void()> wake(std::function<void()> drain);

private:
    void run();
    void runOnce();

    std::string m_name;
    Base::TimerService m_timers; // must outlive the handlers in the context, which hold timers
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace Runtime
