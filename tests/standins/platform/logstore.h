#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace PlatformStandin
{

struct Record {
    std::string id;
    std::string data; ///< base64, as it came
};

/// One stream of the log, in memory.
class Stream
{
public:
    /// The record's offset. An id that is there already keeps its first offset, unless `mayDuplicate`.
    std::uint64_t append(const Record &record, bool mayDuplicate);

    void trim(std::uint64_t before);

    std::uint64_t first() const
    {
        return m_first;
    }

    std::uint64_t end() const
    {
        return m_first + m_entries.size();
    }

    /// The entries of `count` offsets from `from` on, each as the JSON that a reader gets.
    std::vector<std::string_view> read(std::uint64_t from, std::size_t count) const;

private:
    struct Entry {
        std::string id;
        std::string json;
    };

    std::uint64_t m_first = 1;
    std::deque<Entry> m_entries;
    std::unordered_map<std::string, std::uint64_t> m_offsets;
};

/// All streams, each kept to `retention` records; 0 keeps all.
class LogStore
{
public:
    explicit LogStore(std::size_t retention);

    Stream &stream(std::string_view name);

    /// The offsets of the records, in their order.
    std::vector<std::uint64_t>
    append(std::string_view name, std::span<const Record> records, bool mayDuplicate);

private:
    std::size_t m_retention;
    std::map<std::string, Stream, std::less<>> m_streams;
};

} // namespace PlatformStandin
