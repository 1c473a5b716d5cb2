#pragma once

#include "offset.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_set>

namespace Fleet
{

/// 128-bit hash of a record's ID.
struct RecordDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RecordDigest &) const = default;
};

/// The offset and digest of a record.
struct RecordWindowEntry {
    Offset offset;
    RecordDigest digest;

    auto operator<=>(const RecordWindowEntry &) const = default;
};

/// The IDs of a stream's latest records, to detect duplicates. It is part of the replicated state, so that
/// every reader drops the same duplicates.
class RecordWindow
{
public:
    static constexpr std::size_t Capacity = 8192; ///< records

    bool contains(std::string_view id) const;

    /// Adds the newest record. Returns the oldest one if it was evicted.
    std::optional<RecordWindowEntry> remember(Offset offset, std::string_view id);

    /// Undoes the latest remember(), which returned `evicted`.
    void removeNewest(const std::optional<RecordWindowEntry> &evicted);

    /// In order of offset.
    const std::deque<RecordWindowEntry> &marks() const
    {
        return m_marks;
    }

    static RecordWindow fromMarks(std::deque<RecordWindowEntry> marks);

    bool operator==(const RecordWindow &other) const
    {
        return m_marks == other.m_marks;
    }

private:
    struct DigestHash {
        std::size_t operator()(const RecordDigest &digest) const noexcept
        {
            return static_cast<std::size_t>(digest.low);
        }
    };

    std::deque<RecordWindowEntry> m_marks;
    std::unordered_set<RecordDigest, DigestHash> m_digests; ///< of m_marks
};

} // namespace Fleet
