#include "logstore.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace PlatformStandin
{

std::uint64_t Stream::append(const Record &record, bool mayDuplicate)
{
    const auto it = m_offsets.find(record.id);
    if (it != m_offsets.end() && !mayDuplicate) {
        return it->second;
    }
    const std::uint64_t offset = end();
    const std::string id = boost::json::serialize(boost::json::string(record.id));
    m_entries.push_back(
        {record.id, fmt::format(R"({{"offset":{},"id":{},"data":"{}"}})", offset, id, record.data)});
    m_offsets.emplace(record.id, offset);
    return offset;
}

void Stream::trim(std::uint64_t before)
{
    while (m_first < before && !m_entries.empty()) {
        const auto it = m_offsets.find(m_entries.front().id);
        if (it != m_offsets.end() && it->second == m_first) {
            m_offsets.erase(it);
        }
        m_entries.pop_front();
        ++m_first;
    }
}

std::vector<std::string_view> Stream::read(std::uint64_t from, std::size_t count) const
{
    std::vector<std::string_view> found;
    for (std::uint64_t n = std::max(from, m_first); n < end() && found.size() < count; ++n) {
        found.emplace_back(m_entries[n - m_first].json);
    }
    return found;
}

LogStore::LogStore(std::size_t retention)
    : m_retention(retention)
{
}

Stream &LogStore::stream(std::string_view name)
{
    const auto it = m_streams.find(name);
    return it != m_streams.end() ? it->second : m_streams[std::string(name)];
}

std::vector<std::uint64_t>
LogStore::append(std::string_view name, std::span<const Record> records, bool mayDuplicate)
{
    Stream &target = stream(name);
    std::vector<std::uint64_t> offsets;
    for (const Record &it : records) {
        offsets.push_back(target.append(it, mayDuplicate));
    }
    if (m_retention > 0 && target.end() - target.first() > m_retention) {
        target.trim(target.end() - m_retention);
    }
    return offsets;
}

} // namespace PlatformStandin
