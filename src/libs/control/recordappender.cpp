#include "recordappender.h"

#include <base/logline.h>
#include <record/codec.h>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace Control
{

namespace
{

constexpr Base::Duration RetryDelay = std::chrono::milliseconds{200};
constexpr std::size_t MaxRecordsPerAppend = 100;

} // namespace

RecordAppender::RecordAppender(Platform::HttpPlatform &platform,
                               Base::TimerService &timers,
                               std::string stream)
    : m_platform(platform)
    , m_stream(std::move(stream))
    , m_retryTimer(timers)
{
}

void RecordAppender::append(const Fleet::Record &record)
{
    m_records.push_back({record.id, Record::encode(record)});
    sendNext();
}

std::size_t RecordAppender::pending() const
{
    return m_records.size();
}

void RecordAppender::dropUnsent()
{
    m_records.erase(m_records.begin() + static_cast<std::ptrdiff_t>(m_recordsInFlight), m_records.end());
}

void RecordAppender::sendNext()
{
    if (m_recordsInFlight > 0 || m_records.empty()) {
        return;
    }
    m_recordsInFlight = std::min(m_records.size(), MaxRecordsPerAppend);
    const std::vector<Platform::LogRecord> batch(
        m_records.begin(), m_records.begin() + static_cast<std::ptrdiff_t>(m_recordsInFlight));
    m_platform.append(
        m_stream, batch, [this, lifetime = std::weak_ptr<bool>(m_lifetimeToken)](const auto &outcome) {
            if (lifetime.lock()) {
                onOutcome(outcome);
            }
        });
}

void RecordAppender::onOutcome(const Platform::AppendOutcome &outcome)
{
    if (const auto *rejected = std::get_if<Platform::AppendRejected>(&outcome)) {
        Base::LogLine(Base::LogLevel::Error, "append-rejected")
            .with("stream", m_stream)
            .with("reason", rejected->reason);
    }
    const bool isFinal = std::holds_alternative<Platform::Appended>(outcome)
        || std::holds_alternative<Platform::AppendRejected>(outcome);
    if (isFinal) {
        m_records.erase(m_records.begin(),
                        m_records.begin() + static_cast<std::ptrdiff_t>(m_recordsInFlight));
        m_recordsInFlight = 0;
        sendNext();
        return;
    }
    m_retryTimer.arm(RetryDelay, [this] {
        m_recordsInFlight = 0;
        sendNext();
    });
}

} // namespace Control
