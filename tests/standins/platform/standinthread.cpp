#include "standinthread.h"

#include "standin.h"

#include <boost/asio/post.hpp>

#include <future>
#include <thread>

namespace PlatformStandin
{

struct StandinThread::Runner {
    explicit Runner(std::size_t retention)
        : standin(context, {0, retention})
        , thread([this] { context.run(); })
    {
    }

    template<typename Function>
    void runOnThread(Function function)
    {
        std::promise<void> done;
        boost::asio::post(context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    boost::asio::io_context context{1};
    Standin standin;
    std::thread thread;
};

StandinThread::StandinThread(std::size_t retention)
    : m_runner(std::make_unique<Runner>(retention))
{
}

StandinThread::~StandinThread()
{
    m_runner->context.stop();
    m_runner->thread.join();
}

std::uint16_t StandinThread::port() const
{
    return m_runner->standin.port();
}

void StandinThread::setFaults(const Faults &faults)
{
    m_runner->runOnThread([&] { m_runner->standin.setFaults(faults); });
}

Counters StandinThread::counters() const
{
    Counters counters;
    m_runner->runOnThread([&] { counters = m_runner->standin.counters(); });
    return counters;
}

void StandinThread::silenceOpenConnections()
{
    m_runner->runOnThread([&] { m_runner->standin.silenceOpenConnections(); });
}

void StandinThread::setInstances(const std::string &json)
{
    m_runner->runOnThread([&] { m_runner->standin.setInstances(json, {}); });
}

} // namespace PlatformStandin
