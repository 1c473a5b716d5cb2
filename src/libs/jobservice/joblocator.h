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
    bool isCertain = true; ///< whether all shards have replied
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
    void locate(const std::string &job, const std::vector<ShardNumber> &shards, const Located &located) const;

private:
    Route m_route;
};

} // namespace JobService
