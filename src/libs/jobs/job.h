#pragma once

#include "jobspec.h"
#include "runtimes.h"

#include <base/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Jobs
{

/// Identifies a request that waits for its answer.
using ReplyId = std::uint64_t;

enum class JobState { Active, Completed, Failed, Cancelled };

/// For logs.
std::string_view toString(JobState state);

/// The state of a task's run, as far as this owner knows it.
enum class RunState {
    None, ///< no run: the task waits or is done
    Planned, ///< assigned to a worker, not yet stored
    Starting, ///< the start has been sent
    Running,
    Unanswered, ///< the start got no answer of the known incarnation, so the run may exist or may still start
    Inherited, ///< stored by an earlier owner, not confirmed by the worker yet
    Stopping, ///< the stop has been sent
};

/// For logs.
std::string_view toString(RunState state);

/// A start that got no answer.
struct OpenStart {
    std::string worker;
    Base::Instant
        until; ///< it may be carried out before this time, by a later incarnation of the worker, too
};

struct Task {
    bool isDone = false;
    RunState run = RunState::None;
    std::uint32_t attempt = 0; ///< of the latest run
    std::uint32_t failures = 0; ///< number of failed runs; of a gang, at its first task
    std::uint32_t failedAttempt = 0; ///< latest failed attempt of a gang, at its first task
    std::uint32_t crashes = 0; ///< workers that crashed while they ran it, known or assumed
    Base::Instant lostAt; ///< when it has last lost a worker to this owner
    std::string worker; ///< worker of the run
    std::int64_t workerStart = 0; ///< start time of the worker when the run was assigned, ms; 0: unknown
    std::string failedOn; ///< worker on which the latest run failed
    std::string checkpoint; ///< checkpoint from which the next run resumes
    int percent = 0; ///< share that the run gets of the processor time that it requests
    std::int64_t startClock = 0; ///< worker's clock at the answer to a start from the beginning; 0: unknown
    std::int64_t confirmedAt = 0; ///< worker's clock when it last confirmed the run or its stop
    bool isStopConfirmed = false;
    Base::Instant orderedAt; ///< when the latest start or stop was sent
    /// Whether the run is known to be one of the incarnation of its worker that leases are reckoned for.
    /// Until then its start may be carried out by any later incarnation.
    bool isConfirmed = false;
    std::optional<OpenStart> openStart; ///< the latest one, of this run or an earlier one
    std::uint32_t startRepeats = 0; ///< how often the start of the run has been sent again
    std::optional<Base::Instant> listedSince; ///< when the worker has first listed the run to this owner
    std::optional<Base::Instant> endsBy; ///< the end of its lease, if the worker has restarted since
    /// Until its end by all leases, as recorded by the owner that released the shard.
    std::optional<Milliseconds> unconfirmedTimeLeft;

    bool isWaiting() const
    {
        return !isDone && run == RunState::None;
    }
    /// Whether it is as it was when its job was submitted.
    bool isUntouched() const
    {
        return isWaiting() && attempt == 0 && failures == 0 && crashes == 0 && checkpoint.empty();
    }
};

/// Why a ready task has not been assigned to a worker.
enum class WaitReason {
    NoRoom, ///< no usable worker has room for it
    Share, ///< the same, while others go first because its workspace has its share
    Quota, ///< the limit of its workspace, for this task or for one that goes first
    UnknownQuota, ///< the limits of the workspaces are not known to the shard
    Advice, ///< the advice service has allowed no worker that has room
    EmptyWorker, ///< workers have crashed under it, so it needs one for itself
    OpenTasks, ///< too many tasks of other occurrences are in memory until these are done
    StrayRun, ///< an earlier run of it is being stopped
    OpenLoss, ///< whether a worker has crashed under it once more is not known yet
};

/// For logs.
std::string_view toString(WaitReason reason);

struct StageWait {
    WaitReason reason = WaitReason::NoRoom;
    Base::Instant reasonSince; ///< since when that is the reason
    Base::Instant since; ///< since when a ready task of the stage waits, whatever the reason
};

struct StageProgress {
    /// The first ones, at least up to the last one that has been assigned. All others are untouched, and take
    /// no memory.
    std::vector<Task> tasks;
    std::uint32_t count = 0; ///< of all tasks
    std::uint32_t done = 0;
    std::optional<StageWait> wait; ///< of its ready tasks as of the last placement
    StageTimes times; ///< of the runs that this owner has measured
    std::optional<Expectation> expectation; ///< of the time of a task; nothing: as declared

    /// Sets why a ready task waits.
    void setWait(WaitReason reason, Base::Instant now);

    bool isDone() const
    {
        return done == count;
    }
    bool hasWaitingTask() const;
    std::uint32_t waitingTasks() const;
    /// Adds the tasks that are not in `tasks`.
    std::vector<Task> &allTasks();
    /// Adds the next untouched task to `tasks`.
    Task &addTask();
    /// Removes untouched tasks from the end of `tasks`.
    void removeUntouched();
};

/// One execution of a job's graph of stages.
struct Occurrence {
    std::vector<StageProgress> stages;

    /// Whether any task has been assigned.
    bool isTouched() const;
    /// The number of tasks and stages, for limits of memory.
    std::uint64_t size() const;
};

struct Job {
    JobSpec spec;
    JobState state = JobState::Active;
    JobState storedState = JobState::Active; ///< latest stored state, reported to callers
    /// The open ones by number: due and not done, within openLimit().
    std::map<std::uint32_t, Occurrence> occurrences;
    std::uint32_t occurrencesDone = 0;
    std::uint32_t nextOccurrence = 0; ///< the lowest one that has not been opened
    bool hasStarted = false; ///< whether a worker is known to have started a task, not only been ordered to
    WallTime acceptedAt{};
    WallTime endedAt{};

    bool isReleased = false; ///< see releaseProgress()
    std::string_view releasedFailureReason;
    bool isStored = false; ///< whether the specification is known to be stored
    std::uint64_t firstBatch = 0; ///< number of the append that contains the specification; 0: none yet
    bool isDirty = false; ///< whether the progress has changed since the last append
    bool hasUnrecordedConfirmations = false; ///< of runs, since the last append with the progress
    std::vector<ReplyId> acceptanceReplies;
    std::vector<ReplyId> cancelReplies;

    /// Opens occurrence `number` with all tasks waiting.
    Occurrence &addOccurrence(std::uint32_t number);
    /// The number of occurrences that may be open at the same time, and of untouched ones among them.
    std::uint64_t openLimit() const;
    std::uint64_t untouchedLimit() const;
    /// The number of occurrences of a timed job that are due by then.
    std::uint32_t dueOccurrences(WallTime time) const;
    /// Those of them that have not been opened.
    std::uint32_t unopenedOccurrences(WallTime time) const;
    /// Frees what is not needed to report the state of an ended job without runs.
    void releaseProgress();
    /// Null if the job has no such task.
    Task *find(const TaskId &id);
    const Task *find(const TaskId &id) const;
    const Stage *stageOf(const TaskId &id) const;

    /// Whether all stages that `stage` depends on are done.
    bool isReady(const Occurrence &occurrence, std::uint32_t stage) const;
    bool hasRuns() const;

    /// Why the job has failed; empty if it has not.
    std::string_view failureReason() const;
    /// An upper estimate of the memory that the job takes without touched occurrences, in bytes.
    std::size_t memory() const;

    /// What a task of the stage is expected to take.
    Milliseconds expectedTime(const Occurrence &occurrence, std::size_t stage) const;
    /// The estimated time until the end of an occurrence if its tasks need not wait for workers.
    Milliseconds remainingCriticalPath(const Occurrence &occurrence) const;
    /// The length of the critical path through the graph of an occurrence; of one that is not due yet by the
    /// declared times.
    Milliseconds criticalPath(std::uint32_t occurrence) const;
    /// What the tasks of an occurrence need that depend on no others.
    Resources firstStagesSize() const;
    /// The estimated work of the first occurrence without long-running tasks, in core-seconds.
    double work() const;
    /// When the occurrence may start.
    WallTime due(std::uint32_t occurrence) const;
    /// The time by which the occurrence has to end to meet its objective.
    WallTime objective(std::uint32_t occurrence) const;
    /// The time from which the result of the occurrence is of no use to the caller.
    WallTime lateLimit(std::uint32_t occurrence) const;
};

} // namespace Jobs
