#include "readstatistics.h"

namespace JobService
{

std::string_view toString(ReadFailure failure)
{
    switch (failure) {
    case ReadFailure::None:
        return "none";
    case ReadFailure::Timeout:
        return "timeout";
    case ReadFailure::Connection:
        return "connection";
    case ReadFailure::Status:
        return "status";
    case ReadFailure::Unreadable:
        return "unreadable";
    }
    return "unknown";
}

void ReadStatistics::add(const ReadReport &report, Base::Duration duration, bool isPage)
{
    if (!isPage) {
        ++m_failures[report.failure];
        m_bytesDiscarded += report.bytes;
        return;
    }
    ++m_pages;
    m_bytesRead += report.bytes;
    const auto transfer =
        std::chrono::duration<double>(duration - report.firstByteAfter.value_or(duration)).count();
    m_transferSeconds += transfer;
    for (std::size_t n = 0; n < Buckets.size(); ++n) {
        if (transfer <= Buckets[n]) {
            ++m_transferTimes[n];
        }
    }
}

std::uint64_t ReadStatistics::pages() const
{
    return m_pages;
}

const std::map<ReadFailure, std::uint64_t> &ReadStatistics::failures() const
{
    return m_failures;
}

std::uint64_t ReadStatistics::bytesRead() const
{
    return m_bytesRead;
}

std::uint64_t ReadStatistics::bytesDiscarded() const
{
    return m_bytesDiscarded;
}

const std::array<std::uint64_t, ReadStatistics::Buckets.size()> &ReadStatistics::transferTimes() const
{
    return m_transferTimes;
}

double ReadStatistics::transferSeconds() const
{
    return m_transferSeconds;
}

} // namespace JobService
