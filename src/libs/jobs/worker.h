#pragma once

#include "shardcommands.h"

#include <base/instant.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Jobs
{

/// What the owner of a shard knows of one worker.
struct Worker {
    WorkerInfo info;
    bool isListed = false; ///< in the newest list of the platform
    bool hasAnswered = false; ///< in this life, under this owner's token
    std::int64_t born = 0;
    OrderToken token = 0;

    // The worker's clock, as read off its latest answer.
    std::int64_t clock = 0;
    Base::Instant clockReadAt;

    bool isRenewalPending = false; ///< a RenewLease is under way
    Base::Instant nextRenewal;
    Base::Instant lastAnswer;
    int consecutiveRenewalFailures = 0;

    /// From here on nothing that was started there before can be running, unless the lease is renewed.
    Base::Instant leaseExpiresBy;
    std::uint64_t processedCursor = 0; ///< ends up to here are in the jobs' progress
    std::uint64_t ackCursor = 0; ///< ends up to here are stored

    std::set<TaskId> runs; ///< assigned here and not known to have ended
    Resources used;
    Base::Instant backoffUntil; ///< after it refused or failed what it was given
    int consecutiveFailedJobs = 0; ///< jobs in a row of which a run failed here, with no success between
    std::string lastFailedJob;

    int bestEffortPercent = 100; ///< pace of the tasks that fill what others leave
    std::map<TaskId, int> sentPaces; ///< what those have been told
    Base::Instant evacuatedUntil;
    std::optional<Base::Instant> drainDeadline; ///< while it drains: the earliest end

    bool isUsable(Base::Instant now) const
    {
        return isListed && hasAnswered && !info.isDraining && consecutiveRenewalFailures == 0
            && backoffUntil <= now && evacuatedUntil <= now;
    }
};

} // namespace Jobs
