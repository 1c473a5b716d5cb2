#include "joblocator.h"

#include <chrono>
#include <memory>
#include <utility>

namespace JobService
{

namespace
{

// Shorter than members wait for each other's replies, so that the caller gets a refusal and no time-out.
constexpr Base::Duration QueryTimeout = std::chrono::milliseconds{600};

} // namespace

JobLocator::JobLocator(Route route)
    : m_route(std::move(route))
{
}

// The queries are marked as forwarded, so that the owners of the other shards don't look any further.
void JobLocator::locate(const std::string &job,
                        const std::vector<ShardNumber> &shards,
                        const Located &located,
                        const std::optional<IntendedHome> &home) const
{
    struct Search {
        JobLocation location;
        std::size_t remaining = 0;
    };
    const auto search = std::make_shared<Search>();
    search->remaining = shards.size();
    for (const ShardNumber it : shards) {
        JobRequest query{
            .shard = it, .operation = Operation::State, .subject = job, .isForwardedByHome = true};
        query.intendedHome = home;
        m_route(std::move(query), QueryTimeout, [search, it, located](const JobReply &reply) {
            if (search->location.shard) {
                return;
            }
            if (reply.status == JobReply::Status::Done) {
                search->location.shard = it;
            } else if (reply.status == JobReply::Status::Redirected) {
                search->location.shard = reply.redirectedTo;
            } else if (reply.status != JobReply::Status::NoSuchJob) {
                search->location.isCertain = false;
                if (reply.isUnsettled) {
                    search->location.unsettledAt = it;
                }
            }
            if (--search->remaining == 0 || search->location.shard) {
                located(search->location);
            }
        });
    }
}

} // namespace JobService
