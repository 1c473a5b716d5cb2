#pragma once

#include "ownership.h"

#include <jobs/jobspec.h>

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace JobService
{

/// A service and how many workers its pool has.
struct ServiceSize {
    std::string service;
    std::size_t workers = 0;
};

/// Which shards own a service's queues and workers. A large service is divided into cells of whole racks,
/// each a shard of its own. Stored once for each service and never changed, so that two members with
/// different configurations agree.
class ServiceLayout
{
public:
    /// `shards` is how many there are, with the last one, which stands for the machines; services beyond
    /// share the others.
    explicit ServiceLayout(std::uint32_t shards);

    /// `numbers` are the shards of the service's cells, separated by commas.
    void load(std::string_view service, std::string_view numbers);

    /// The shards of the service's cells; empty when the service isn't known.
    std::span<const ShardNumber> cellsOf(std::string_view service) const;
    /// The shard that the job's ID leads to.
    std::optional<ShardNumber> homeOf(std::string_view service, std::string_view job) const;
    /// The shard that gives orders to the worker.
    std::optional<ShardNumber> shardOf(const Jobs::WorkerInfo &worker) const;
    /// Which of the service's cells a rack belongs to; 0 when the service isn't known.
    std::size_t cellOf(std::string_view service, std::string_view rack) const;

    bool isComplete(std::span<const std::string> services) const;
    /// The records that are missing for `services`; empty when all have a shard.
    std::vector<Jobs::Record> missing(std::span<const ServiceSize> services) const;
    /// Some service belongs to the shard.
    bool isUsed(ShardNumber shard) const;
    /// Shards of all services together.
    std::size_t size() const;

private:
    std::uint32_t m_shards;
    std::map<std::string, std::vector<ShardNumber>, std::less<>> m_cells;
};

/// Which shard of its service a job that comes new to its home is to be kept by: the home, unless its workers
/// couldn't run it or another cell suits it better. `workers` are those of all cells.
ShardNumber shardFor(const Jobs::JobSpec &spec,
                     ShardNumber home,
                     const ServiceLayout &layout,
                     std::span<const Jobs::WorkerInfo> workers);

} // namespace JobService
