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

    bool isAsked = false; ///< a RenewLease is under way
    Base::Instant nextAsk;
    Base::Instant lastAnswer;
    int failuresInRow = 0;

    /// From here on nothing that was started there before can be running, unless the lease is renewed.
    Base::Instant leaseBound;
    std::uint64_t processedCursor = 0; ///< ends up to here are in the jobs' progress
    std::uint64_t ackCursor = 0; ///< ends up to here are stored

    std::set<TaskId> runs; ///< assigned here and not known to have ended
    Resources used;
    Base::Instant noNewRunsBefore; ///< after it refused or failed what it was given
    int failedInRow = 0; ///< jobs in a row of which a run failed here, with no success between
    std::string lastFailedJob;

    int fillPercent = 100; ///< pace of the tasks that fill what others leave
    std::map<TaskId, int> paced; ///< what those have been told
    Base::Instant evacuatedUntil;
    std::optional<Base::Instant> leavesAt; ///< while it drains: the earliest end

    bool isUsable(Base::Instant now) const
    {
        return isListed && hasAnswered && !info.isDraining && failuresInRow == 0 && noNewRunsBefore <= now
            && evacuatedUntil <= now;
    }
};

} // namespace Jobs
