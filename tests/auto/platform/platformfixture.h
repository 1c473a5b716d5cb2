#pragma once

#include <platform/httpplatform.h>
#include <platform/standinthread.h>

#include <base/timerservice.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// A stand-in and an adapter that speaks to it, driven by the test's thread.
class PlatformFixture
{
public:
    explicit PlatformFixture(std::size_t retention = 0);
    ~PlatformFixture();

    /// Handles events until `condition` holds; false when it doesn't within a generous bound.
    bool runUntil(const std::function<bool()> &condition);

    /// Runs `start`, which is given a callback to pass on, until that was called.
    template<typename Outcome>
    std::optional<Outcome> await(const std::function<void(std::function<void(Outcome)>)> &start)
    {
        auto outcome = std::make_shared<std::optional<Outcome>>();
        start([outcome](Outcome it) { *outcome = std::move(it); });
        runUntil([&] { return outcome->has_value(); });
        return *outcome;
    }

    std::optional<Platform::AppendOutcome> append(const std::vector<Platform::LogRecord> &records);
    std::optional<Platform::ReadOutcome> read(Platform::Offset from, std::uint32_t waitMilliseconds = 0);

    /// Replaces the adapter by one that speaks to another port.
    void speakTo(std::uint16_t port);

    Platform::HttpPlatform &platform();
    Base::TimerService &timers();

    PlatformStandin::StandinThread standin;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// `count` records whose ids are `prefix` and a number.
std::vector<Platform::LogRecord> makeRecords(const std::string &prefix, int count);
