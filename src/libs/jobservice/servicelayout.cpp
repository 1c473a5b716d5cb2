#include "servicelayout.h"

#include <ini/values.h>

#include <algorithm>

namespace JobService
{

ServiceLayout::ServiceLayout(std::uint32_t shards)
    : m_shards(std::max<std::uint32_t>(1, shards))
{
}

void ServiceLayout::load(std::string_view service, std::string_view number)
{
    if (const auto value = Ini::toInteger(number)) {
        m_numbers[std::string(service)] = static_cast<ShardNumber>(*value % m_shards);
    }
}

std::optional<ShardNumber> ServiceLayout::shardOf(std::string_view service) const
{
    const auto it = m_numbers.find(service);
    return it != m_numbers.end() ? std::optional(it->second) : std::nullopt;
}

std::vector<Jobs::Record> ServiceLayout::missing(std::span<const std::string> services) const
{
    std::vector<std::string> names;
    for (const std::string &it : services) {
        if (m_numbers.count(it) == 0) {
            names.push_back(it);
        }
    }
    std::sort(names.begin(), names.end());
    std::vector<Jobs::Record> records;
    records.reserve(names.size());
    std::size_t next = m_numbers.size();
    for (const std::string &it : names) {
        records.push_back({it, std::to_string(next++)});
    }
    return records;
}

bool ServiceLayout::isUsed(ShardNumber shard) const
{
    return std::any_of(
        m_numbers.begin(), m_numbers.end(), [shard](const auto &it) { return it.second == shard; });
}

std::size_t ServiceLayout::size() const
{
    return m_numbers.size();
}

} // namespace JobService
