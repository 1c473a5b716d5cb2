#include "httpsession.h"

#include "statusclient.h"

#include <base/timerservice.h>
#include <platform/eventloop.h>
#include <platform/httpplatform.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <utility>

namespace Commands
{

namespace
{

constexpr Base::Duration StatusTimeout = std::chrono::seconds(1);

Platform::HttpSettings settingsFor(const Ini::Endpoint &platform)
{
    Platform::HttpSettings settings;
    settings.host = platform.ip;
    settings.port = platform.port;
    return settings;
}

} // namespace

class HttpSession::Private
{
public:
    explicit Private(const Ini::Endpoint &endpoint)
        : platform(context, timers, settingsFor(endpoint))
    {
    }

    /// Starts a call and runs the event loop until its outcome is there.
    template<typename Outcome, typename Start>
    Outcome await(Start start)
    {
        std::optional<Outcome> result;
        Platform::EventLoop loop(context, timers);
        Platform::advanceToNow(timers);
        start([&](Outcome outcome) {
            result = std::move(outcome);
            loop.stop();
        });
        loop.run();
        return std::move(*result);
    }

    void pause(Base::Duration duration)
    {
        Platform::EventLoop loop(context, timers);
        Platform::advanceToNow(timers);
        timers.subscribeAfter(duration, [&] { loop.stop(); });
        loop.run();
    }

    boost::asio::io_context context{1};
    Base::TimerService timers;
    Platform::HttpPlatform platform;
};

HttpSession::HttpSession(const Ini::Endpoint &platform)
    : m_private(std::make_unique<Private>(platform))
{
}

HttpSession::~HttpSession() = default;

Platform::ReadOutcome HttpSession::read(const Platform::ReadRequest &request)
{
    return m_private->await<Platform::ReadOutcome>(
        [&](auto callback) { m_private->platform.read(request, callback); });
}

Platform::AppendOutcome HttpSession::append(std::string_view stream, const Platform::LogRecord &record)
{
    return m_private->await<Platform::AppendOutcome>(
        [&](auto callback) { m_private->platform.append(stream, std::span(&record, 1), callback); });
}

Platform::ListOutcome HttpSession::listInstances()
{
    return m_private->await<Platform::ListOutcome>(
        [&](auto callback) { m_private->platform.listInstances(callback); });
}

std::vector<std::optional<EntryStatus>> HttpSession::statuses(std::span<const std::string> addresses)
{
    return fetchStatuses(addresses, StatusTimeout);
}

Base::Instant HttpSession::now() const
{
    return std::chrono::time_point_cast<Base::Duration>(std::chrono::steady_clock::now());
}

void HttpSession::pause(Base::Duration duration)
{
    m_private->pause(duration);
}

} // namespace Commands
