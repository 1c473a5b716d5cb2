#pragma once

#include "ownership.h"

#include <jobs/jobspec.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace JobService
{

/// A service and the number of workers in its pool.
struct ServiceSize {
    std::string service;
    std::size_t workers = 0;
};

/// Maps the queues and workers of services to shards. A large service is divided into cells of whole racks,
/// each of which has its own shard. The mapping of a service is stored once and never changed, so that
/// members with different configurations agree on it.
class ServiceLayout
{
public:
    /// `shards` is the total number of shards, including the last one, which is the shard for machines. If
    /// there are more services than other shards, services share them.
    explicit ServiceLayout(std::uint32_t shards);

    /// `numbers` are the shards of the service's cells, separated by commas.
    void load(std::string_view service, std::string_view numbers);

    /// The shards of the service's cells. Empty if the service is unknown.
    std::span<const ShardNumber> cellsOf(std::string_view service) const;
    /// The shards of all cells of these services, each once.
    std::vector<ShardNumber> cellsOf(const std::set<std::string> &services) const;
    /// The shard that the job's ID maps to, which keeps track of the job even if another shard runs it.
    std::optional<ShardNumber> homeShardOf(std::string_view service, std::string_view job) const;
    /// The shards that the job's ID maps to in these services, each once.
    std::vector<ShardNumber> homeShardsOf(const std::set<std::string> &services, std::string_view job) const;
    std::set<std::string> services() const;
    /// The shard that controls the worker.
    std::optional<ShardNumber> shardOf(const Jobs::WorkerInfo &worker) const;
    /// Index of the service's cell that the rack belongs to. 0 if the service is unknown.
    std::size_t cellOf(std::string_view service, std::string_view rack) const;

    bool isComplete(std::span<const std::string> services) const;
    /// The records to be stored for those of `services` that have no shard yet.
    std::vector<Jobs::Record> missing(std::span<const ServiceSize> services) const;
    /// The number of cells of the service that the shard belongs to, or 0.
    std::size_t cellsBeside(ShardNumber shard) const;
    /// Whether the shard belongs to any service.
    bool hasService(ShardNumber shard) const;
    /// Number of cells of all services.
    std::size_t size() const;

private:
    std::uint32_t m_shards;
    std::map<std::string, std::vector<ShardNumber>, std::less<>> m_cells;
};

/// Chooses the shard for a job that is new to its home shard: the home shard, unless its workers couldn't run
/// the job or another cell of the service suits it better. `workers` are the workers of all cells.
ShardNumber chooseShard(const Jobs::JobSpec &spec,
                        ShardNumber home,
                        const ServiceLayout &layout,
                        std::span<const Jobs::WorkerInfo> workers);

} // namespace JobService
