#pragma once

#include "ownership.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace JobService
{

/// Which shard owns a service's queues and workers. Stored once for each service and never changed, so that
/// two members with different configurations agree.
class ServiceLayout
{
public:
    /// `shards` is how many there are; services beyond share them.
    explicit ServiceLayout(std::uint32_t shards);

    void load(std::string_view service, std::string_view number);
    std::optional<ShardNumber> shardOf(std::string_view service) const;

    /// The records that are missing for `services`; empty when all have a shard.
    std::vector<Jobs::Record> missing(std::span<const std::string> services) const;
    /// Some service belongs to the shard.
    bool isUsed(ShardNumber shard) const;
    std::size_t size() const;

private:
    std::uint32_t m_shards;
    std::map<std::string, ShardNumber, std::less<>> m_numbers;
};

} // namespace JobService
