#include "platformfixture.h"

#include <platform/eventloop.h>

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <chrono>

using namespace std::chrono_literals;

namespace
{

constexpr auto LongestWait = 20s;

} // namespace

struct PlatformFixture::Private {
    boost::asio::io_context context{1};
    Base::TimerService timers;
    std::unique_ptr<Platform::HttpPlatform> platform;
};

PlatformFixture::PlatformFixture(std::size_t retention)
    : standin(retention)
    , m_private(std::make_unique<Private>())
{
    Platform::advanceToNow(m_private->timers);
    speakTo(standin.port());
}

PlatformFixture::~PlatformFixture() = default;

bool PlatformFixture::runUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + LongestWait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        Platform::advanceToNow(m_private->timers);
        m_private->context.restart();
        m_private->context.run_one_for(1ms);
    }
    return true;
}

std::optional<Platform::AppendOutcome>
PlatformFixture::append(const std::vector<Platform::LogRecord> &records)
{
    return await<Platform::AppendOutcome>(
        [&](Platform::AppendCallback callback) { platform().append("s", records, std::move(callback)); });
}

std::optional<Platform::ReadOutcome> PlatformFixture::read(Platform::Offset from,
                                                           std::uint32_t waitMilliseconds)
{
    return await<Platform::ReadOutcome>([&](Platform::ReadCallback callback) {
        platform().read({"s", from, 1000, waitMilliseconds}, std::move(callback));
    });
}

Platform::HttpPlatform &PlatformFixture::platform()
{
    return *m_private->platform;
}

Base::TimerService &PlatformFixture::timers()
{
    return m_private->timers;
}

void PlatformFixture::speakTo(std::uint16_t port)
{
    Platform::HttpSettings settings;
    settings.port = port;
    settings.requestTimeout = 300ms;
    m_private->platform =
        std::make_unique<Platform::HttpPlatform>(m_private->context, m_private->timers, settings);
}

std::vector<Platform::LogRecord> makeRecords(const std::string &prefix, int count)
{
    std::vector<Platform::LogRecord> records;
    records.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        records.push_back({fmt::format("{}{}", prefix, n), fmt::format("data of {}{}", prefix, n)});
    }
    return records;
}
