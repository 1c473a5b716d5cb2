#pragma once

#include "losscounts.h"
#include "shardcommands.h"

#include <base/instant.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs
{

/// For logs.
inline std::int64_t milliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

/// Identifies a run on its worker.
struct RunId {
    TaskId task;
    std::uint32_t attempt = 0;

    auto operator<=>(const RunId &) const = default;
};

/// A run that is not the current one of its task: the task is done by another run, has been started elsewhere
/// or is not known. It is stopped, and takes up its worker until it has ended.
struct StrayRun {
    Task run; ///< its state, as that of a task's current run
    bool isSized = false; ///< whether what it takes up is known
    bool isLongRunning = false;
    std::string workspace;
    Resources size;
    Resources reserved; ///< on the worker
};

/// The state of a worker as known to the owner of a shard.
struct Worker {
    /// Longest wait of a query to a worker without runs. Workers hold a query for up to two seconds.
    static constexpr Milliseconds LongestQuery{1900};
    static constexpr Milliseconds AnswerMargin{100}; ///< for the way there and back
    static constexpr Milliseconds NoRoomBackoff{150}; ///< gets no new runs for this long after a refused one
    static constexpr int FullPace = 100; ///< of a best-effort task, in percent
    /// Longest time for which it is withheld for new isolated runs, however many are started.
    static constexpr Milliseconds MaxIsolationTime{2000};

    WorkerInfo info;
    bool isListed = false; ///< whether the latest list of the platform contains the worker
    bool hasAnswered = false; ///< whether the worker has answered since its latest restart, to this owner
    std::int64_t startTime = 0;
    OrderToken token = 0;
    bool isFenced = true; ///< whether orders from before the worker's latest restart are refused by now

    // The worker's clock as of its latest answer.
    std::int64_t clock = 0;
    Base::Instant clockReadAt;
    std::int64_t previousClock = 0; ///< the same as of the list before; 0: unknown

    bool isRenewalPending = false; ///< the latest RenewLease has not been answered
    std::uint64_t lastRenewal = 0; ///< number of the latest RenewLease
    std::optional<Base::Instant> probedAt; ///< when it has last been queried out of turn
    std::uint64_t outdatedRenewal = 0; ///< answers to these and earlier ones may be from before a restart
    std::int64_t askedAtClock =
        0; ///< the worker's clock when the latest RenewLease was sent, by the list before
    Base::Instant nextRenewal;
    Base::Instant lastAnswer;
    int consecutiveRenewalFailures = 0;

    /// By this time all confirmed runs have ended, unless the lease is renewed.
    Base::Instant leaseExpiresBy;
    Base::Instant lastLeaseOrder; ///< when the latest order with a lease was sent, by any owner
    LeaseSource leaseSource = LeaseSource::None; ///< of leaseExpiresBy, for logs
    Base::Instant leaseSetAt;
    std::int64_t orderedLeaseEnd = 0; ///< by the worker's clock, of the latest order with a lease
    Milliseconds clockAge{}; ///< of the reading of that clock which it was reckoned from
    std::optional<Base::Instant> listedRunsEndBy; ///< of the runs that it had listed before its restart
    bool mayHoldLongLease = false; ///< whether the worker may have granted a longer lease than this owner's
    /// Whether leaseExpiresBy is what the owner before has recorded at its release. Until the owner record is
    /// stored the worker gets no lease, because a later owner would read that record again.
    bool isLeaseRecorded = false;
    std::uint64_t processedCursor = 0; ///< run ends up to this number are part of the jobs' progress
    std::uint64_t ackCursor = 0; ///< run ends up to this number are stored
    std::uint64_t acknowledgedCursor = 0; ///< the worker has removed run ends up to this number

    std::vector<TaskId> listedRuns; ///< runs in the latest list, whether they are in `runs` or not
    std::set<TaskId> runs; ///< tasks whose current run is assigned to the worker and not known to have ended
    using StrayRuns = std::map<RunId, StrayRun>;
    StrayRuns strayRuns;
    std::set<TaskId> suspects; ///< of both, tasks under which a worker has crashed
    std::set<TaskId> isolatedRuns; ///< of these, tasks under which several workers have crashed
    Base::Instant isolatedFrom; ///< since when it has been withheld from other tasks for new isolated runs
    Base::Instant isolatedUntil; ///< the latest isolated run is new until then
    Base::Instant emptiedUntil; ///< gets no new runs, so that a task can have the worker for itself
    Resources used;
    Resources fullCapacity; ///< the largest since its latest restart, of each kind
    Base::Instant backoffUntil; ///< set after a refused start or failed runs
    int consecutiveFailedJobs = 0; ///< jobs with a failed run since the last successful run
    std::string lastFailedJob;

    int bestEffortPercent = FullPace; ///< pace of best-effort tasks
    std::map<TaskId, int> sentPaces; ///< pace last sent to each best-effort task, in percent
    Base::Instant evacuatedUntil;
    std::optional<Base::Instant> drainDeadline; ///< while draining: the earliest time of the worker's end

    void setLease(Base::Instant until, LeaseSource source, Base::Instant now)
    {
        leaseExpiresBy = until;
        leaseSource = source;
        leaseSetAt = now;
    }

    /// Whether a later incarnation may have carried out a start of the task without an answer.
    bool mayCarryOutStart(const Task &task) const
    {
        return task.openStart && task.openStart->worker == info.id && task.openStart->until > lastAnswer;
    }

    bool hasRuns() const
    {
        return !runs.empty() || !strayRuns.empty();
    }

    /// Forgets that the task is suspect, unless another run of it is left.
    void runEnded(const TaskId &task)
    {
        const auto stray = strayRuns.lower_bound({task, 0});
        if (runs.count(task) == 0 && (stray == strayRuns.end() || stray->first.task != task)) {
            suspects.erase(task);
            isolatedRuns.erase(task);
        }
    }

    /// Whether it runs something that is not known to leave room for anything else.
    bool hasUnsizedRun() const
    {
        return std::any_of(
            strayRuns.begin(), strayRuns.end(), [](const auto &it) { return !it.second.isSized; });
    }

    /// Whether the stop of a stray run is not confirmed and may be ordered again.
    bool hasStrayRunToStop() const
    {
        return consecutiveRenewalFailures == 0
            && std::any_of(strayRuns.begin(), strayRuns.end(), [](const auto &it) {
                   return !it.second.run.isStopConfirmed;
               });
    }

    /// Whether the worker may be queried for its runs.
    bool isQueried() const
    {
        return !info.address.empty() && (isListed || hasRuns());
    }

    /// The earliest time by which the lease of any of its runs has ended.
    Base::Instant earliestLeaseEnd() const
    {
        return std::min(leaseExpiresBy, listedRunsEndBy.value_or(leaseExpiresBy));
    }

    /// Whether it would have answered a query by now even if it runs nothing.
    bool isAnswerOverdue(Base::Instant now) const
    {
        return now - lastAnswer > LongestQuery + AnswerMargin;
    }

    /// Whether only the end of its lease shows that its runs have ended.
    bool isSilent() const
    {
        return consecutiveRenewalFailures > 0 || info.address.empty() || !hasAnswered;
    }

    /// Whether an answer has shown that it has restarted, and it has listed nothing since.
    bool isIncarnationUnknown() const
    {
        return !hasAnswered && clock != 0;
    }

    /// Whether an isolated run has just been started.
    bool hasNewIsolatedRun(Base::Instant now) const
    {
        return !isolatedRuns.empty() && isolatedUntil > now;
    }

    /// Whether it is withheld from all other tasks for that run.
    bool isIsolated(Base::Instant now) const
    {
        return hasNewIsolatedRun(now) && now - isolatedFrom < MaxIsolationTime;
    }

    bool isUsable(Base::Instant now) const
    {
        return isListed && hasAnswered && !info.isDraining && consecutiveRenewalFailures == 0
            && backoffUntil <= now && evacuatedUntil <= now && !isIsolated(now) && !hasUnsizedRun();
    }
};

} // namespace Jobs
