#pragma once

#include "peerprotocol.h"

#include <base/instant.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace JobService
{

/// Where a job is stored.
struct JobLocation {
    std::optional<ShardNumber> shard; ///< nullopt: in none of the shards that have replied
    bool isCertain = true; ///< whether all shards have replied that they have or don't have the job
    std::optional<ShardNumber> unsettledAt{}; ///< a shard that doesn't know yet whether it has stored the job
};

/// Looks for jobs on shards other than the one that their ID and the service of their queue map to. A queue
/// may have had another service when the job was submitted.
class JobLocator
{
public:
    using Route = std::function<void(JobRequest, Base::Duration limit, std::function<void(JobReply)>)>;
    using Located = std::function<void(const JobLocation &)>;

    explicit JobLocator(Route route);

    /// `located` is called once, as soon as one of the shards has the job or all of them have replied.
    /// `home` is the shard that accepts the job if none of them has it.
    void locate(const std::string &job,
                const std::vector<ShardNumber> &shards,
                const Located &located,
                const std::optional<IntendedHome> &home = std::nullopt) const;

private:
    Route m_route;
};

} // namespace JobService
