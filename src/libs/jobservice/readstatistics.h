#pragma once

#include <base/instant.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace JobService
{

enum class ReadFailure {
    None,
    Timeout, ///< the response was not whole in time
    Connection, ///< no connection, or it ended before the response did
    Status, ///< the store has rejected the read
    Unreadable,
};

std::string_view toString(ReadFailure failure);

/// How a read of the store went.
struct ReadReport {
    ReadFailure failure = ReadFailure::Connection;
    std::string detail{};
    unsigned status = 0; ///< 0 without a response
    std::size_t bytes = 0; ///< received of the response's body
    std::optional<Base::Duration> firstByteAfter{}; ///< from the start of the read
};

/// Counts of the reads of a topic.
class ReadStatistics
{
public:
    /// Upper bounds of the buckets for the transfer times, in seconds.
    static constexpr std::array<double, 9> Buckets{0.01, 0.03, 0.1, 0.3, 1, 2, 4, 8, 16};

    void add(const ReadReport &report, Base::Duration duration, bool isPage);

    std::uint64_t pages() const;
    /// Failed reads by reason.
    const std::map<ReadFailure, std::uint64_t> &failures() const;
    std::uint64_t bytesRead() const;
    /// Received by reads that failed.
    std::uint64_t bytesDiscarded() const;
    /// Time from the first byte to the last one, of pages: number of reads within each bucket's bound.
    const std::array<std::uint64_t, Buckets.size()> &transferTimes() const;
    double transferSeconds() const;

private:
    std::uint64_t m_pages = 0;
    std::map<ReadFailure, std::uint64_t> m_failures;
    std::uint64_t m_bytesRead = 0;
    std::uint64_t m_bytesDiscarded = 0;
    std::array<std::uint64_t, Buckets.size()> m_transferTimes{};
    double m_transferSeconds = 0;
};

} // namespace JobService
