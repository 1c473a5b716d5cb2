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

constexpr Base::Duration RetryPause = std::chrono::milliseconds{200};
constexpr std::size_t RecordsPerAppend = 100;

} // namespace

RecordAppender::RecordAppender(Platform::HttpPlatform &platform,
                               Base::TimerService &timers,
                               std::string stream)
    : m_platform(platform)
    , m_stream(std::move(stream))
    , m_retry(timers)
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
    m_records.erase(m_records.begin() + static_cast<std::ptrdiff_t>(m_underWay), m_records.end());
}

void RecordAppender::sendNext()
{
    if (m_underWay > 0 || m_records.empty()) {
        return;
    }
    m_underWay = std::min(m_records.size(), RecordsPerAppend);
    const std::vector<Platform::LogRecord> batch(m_records.begin(),
                                                 m_records.begin() + static_cast<std::ptrdiff_t>(m_underWay));
    m_platform.append(m_stream, batch, [this, alive = std::weak_ptr<bool>(m_isAlive)](const auto &outcome) {
        if (alive.lock()) {
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
        m_records.erase(m_records.begin(), m_records.begin() + static_cast<std::ptrdiff_t>(m_underWay));
        m_underWay = 0;
        sendNext();
        return;
    }
    m_retry.arm(RetryPause, [this] {
        m_underWay = 0;
        sendNext();
    });
}

} // namespace Control
