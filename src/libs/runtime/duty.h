#pragma once

#include <base/timerservice.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <thread>

namespace Runtime
{

/// One thread with its own Asio context and timer service. Everything that belongs to a duty runs on its
/// thread; other threads reach it through a ring whose wake function is wake().
class Duty
{
public:
    explicit Duty(std::string name);
    Duty(const Duty &) = delete;
    Duty &operator=(const Duty &) = delete;
    ~Duty();

    boost::asio::io_context &context();
    Base::TimerService &timers();

    /// Starts the thread.
    void start();

    /// Runs the duty on the calling thread until its context is stopped.
    void runHere();

    /// Ends the thread after the handler that is running; joins it.
    void stop();

    /// Runs `task` on the duty's thread; may be called from any thread.
    void post(std::function<void()> task);

    /// A function for rings that asks this duty's thread to call `drain`.
    std::function<void()> wake(std::function<void()> drain);

private:
    void run();
    void runOnce();

    std::string m_name;
    Base::TimerService m_timers; // outlives the handlers in the context, which hold timers
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace Runtime
