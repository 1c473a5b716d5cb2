#pragma once

#include <base/oneshottimer.h>
#include <fleet/record.h>
#include <platform/httpplatform.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace Control
{

/// Appends records to one stream, in order and one batch at a time. A batch whose response was lost is
/// appended again with the same record IDs; the fold ignores duplicates.
class RecordAppender
{
public:
    RecordAppender(Platform::HttpPlatform &platform, Base::TimerService &timers, std::string stream);

    void append(const Fleet::Record &record);

    /// Number of records that are not yet known to be in the log.
    std::size_t pending() const;

    /// Drops records that have not been sent yet; a batch in flight is not cancelled.
    void dropUnsent();

private:
    void sendNext();
    void onOutcome(const Platform::AppendOutcome &outcome);

    Platform::HttpPlatform &m_platform;
    std::string m_stream;
    std::deque<Platform::LogRecord> m_records;
    std::size_t m_recordsInFlight = 0;
    Base::OneShotTimer m_retryTimer;
    std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
};

} // namespace Control
