#pragma once

#include "jobspec.h"

#include <base/instant.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Jobs
{

/// Names one request that waits for its answer.
using ReplyId = std::uint64_t;

enum class JobState { Active, Completed, Failed, Cancelled };

/// For logs.
std::string_view toString(JobState state);

/// What this owner knows of the run that a task is assigned to.
enum class RunState {
    None, ///< waits or has ended
    Planned, ///< chosen, not yet stored
    Starting, ///< the order is under way
    Running,
    Unanswered, ///< the order got no answer: it may run now or later
    Inherited, ///< stored by an earlier owner; the worker hasn't been asked yet
    Stopping, ///< the worker has been asked to end it
};

struct Task {
    bool isDone = false;
    RunState run = RunState::None;
    std::uint32_t attempt = 0; ///< of the latest run
    std::uint32_t failures = 0; ///< runs that ended as failed
    std::string worker; ///< of the run
    std::string failedOn; ///< the worker where the latest run failed
    std::string checkpoint; ///< from which the next run goes on
    int percent = 0; ///< of the processor time that it asks for, while it runs
    std::int64_t confirmedAt = 0; ///< worker's clock when it last said that the run is there, or is stopped
    bool isStopConfirmed = false;
    Base::Instant orderedAt; ///< of the start or the stop under way
    Base::Instant mayStartUntil; ///< a start without an answer may reach a later life of its worker so long

    bool isWaiting() const
    {
        return !isDone && run == RunState::None;
    }
};

struct StageProgress {
    std::vector<Task> tasks;
    std::uint32_t done = 0;

    bool isDone() const
    {
        return done == tasks.size();
    }
};

/// One pass through a job's graph.
struct Occurrence {
    std::vector<StageProgress> stages;
    bool isDone = false;
};

struct Job {
    JobSpec spec;
    JobState state = JobState::Active;
    JobState storedState = JobState::Active; ///< the newest state known to be stored; the one that is shown
    std::map<std::uint32_t, Occurrence> occurrences; ///< those that are due and haven't been forgotten
    std::uint32_t occurrencesDone = 0;
    std::uint32_t nextOccurrence = 0;
    bool hasStarted = false;
    WallTime acceptedAt{};
    WallTime endedAt{};

    bool isStored = false; ///< the specification is known to be stored
    std::uint64_t firstBatch = 0; ///< the append that carries the specification; 0: none yet
    bool isDirty = false; ///< the progress has changed since it was last appended
    std::vector<ReplyId> acceptanceReplies;
    std::vector<ReplyId> cancelReplies;

    /// Adds occurrence `number` with all tasks waiting.
    Occurrence &addOccurrence(std::uint32_t number);
    /// Null for a task that this job doesn't have.
    Task *find(const TaskId &id);
    const Stage *stageOf(const TaskId &id) const;

    /// All stages that `stage` depends on have ended.
    bool isReady(const Occurrence &occurrence, std::uint32_t stage) const;
    bool hasRuns() const;

    /// The estimated time from now to the end of an occurrence on free workers.
    Milliseconds remainingCriticalPath(const Occurrence &occurrence) const;
    /// The longest chain of estimates through the graph.
    Milliseconds criticalPath() const;
    /// Core-seconds of one occurrence, without long-running tasks.
    double work() const;
    /// When the occurrence may start.
    WallTime due(std::uint32_t occurrence) const;
    /// When the occurrence has to end to meet its objective.
    WallTime objective(std::uint32_t occurrence) const;
    /// When the result of the occurrence stops being of use to its caller.
    WallTime lateLimit(std::uint32_t occurrence) const;
};

} // namespace Jobs
