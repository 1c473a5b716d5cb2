#include "shard.h"

#include <base/logline.h>

#include <algorithm>
#include <utility>

namespace Jobs
{

namespace
{

// A task that crashes its workers does so soon after its start. A long-running one is not suspected of a
// crash after this time.
constexpr Milliseconds MaxCrashDelay{3000};

constexpr Milliseconds UnhealthyBackoff{500};

// A worker on which runs of this many jobs in a row failed gets no new runs for the back-off time.
constexpr int MaxConsecutiveFailedJobs = 3;
constexpr Milliseconds FailedJobsBackoff{2500};

} // namespace

void Shard::endRun(Job &job, const TaskId &id, Task &task)
{
    const auto it = m_workers.find(task.worker);
    if (it != m_workers.end() && it->second.runs.erase(id) > 0) {
        it->second.runEnded(id);
        it->second.used -= reservedResources(job.spec.stages[id.stage]);
        m_quotaUsage.remove(job.spec.workspace, job.spec.stages[id.stage].size);
    }
    task.run = RunState::None;
    task.worker.clear();
    task.workerStart = 0;
    task.isConfirmed = false;
    task.endsBy.reset();
    task.listedSince.reset();
    task.percent = 0;
    task.startClock = 0;
    task.isStopConfirmed = false;
    markChanged(job);
}

// The next owner may need to know of a run that outlasts its lease.
void Shard::confirmRun(Job &job, const TaskId &id, Task &task)
{
    const bool isNew = !std::exchange(task.isConfirmed, true);
    const bool isLong = job.spec.stages[id.stage].isLongRunning
        || job.expectedTime(job.occurrences.at(id.occurrence), id.stage) > m_settings.lease;
    job.hasUnrecordedConfirmations = job.hasUnrecordedConfirmations || isNew;
    // Stored with what changes next, or with the next sweep.
    if (isNew && isLong && !std::exchange(job.isDirty, true)) {
        m_changed.push_back(&job);
    }
}

void Shard::markSuspect(Worker &worker, const TaskId &id, const Task &task)
{
    if (task.crashes > 0) {
        worker.suspects.insert(id);
    }
    if (task.crashes >= IsolatedCrashes) {
        worker.isolatedRuns.insert(id);
    }
}

// The worker has crashed, or can't be reached. As a task that crashes its workers must not be started too
// often, the loss counts as a crash until the worker answers again. One that drained has ended as announced,
// and the crash of one on which the task has been running for long has another cause.
void Shard::endLostRun(Job &job, const TaskId &id, Task &task, std::size_t lostTogether, Base::Instant now)
{
    const Worker &worker = m_workers.at(task.worker);
    const bool hasRestarted =
        task.workerStart != 0 && worker.startTime != 0 && task.workerStart != worker.startTime;
    if (!worker.info.isDraining
        && !hasRunFor(MaxCrashDelay, job.spec.stages[id.stage], task, worker.lastAnswer)) {
        ++task.crashes;
        task.lostAt = now;
        m_hasDeadlyTask = m_hasDeadlyTask || task.crashes >= MaxCrashes;
        if (!hasRestarted) {
            m_lostRuns.add(task.worker, worker.info.machine, task.workerStart, id, now);
        }
    }
    Base::LogLine(Base::LogLevel::Info, "run-lost")
        .with("request", id.job)
        .with("task", toString(id))
        .with("attempt", task.attempt)
        .with("worker", task.worker)
        .with("worker_restarted", hasRestarted)
        .with("lost_together", lostTogether)
        .with("crashes", task.crashes);
    endRun(job, id, task);
}

void Shard::withdrawCrashes(const Worker &worker)
{
    for (const TaskId &it : m_lostRuns.takeRefuted(worker.info.id, worker.startTime)) {
        const auto job = m_jobs.find(it.job);
        Task *task = job != m_jobs.end() ? job->second.find(it) : nullptr;
        if (task && task->crashes > 0) {
            --task->crashes;
            markChanged(job->second);
        }
    }
}

void Shard::completeTask(
    const Worker &worker, Job &job, const ListedEnd &end, WallTime wall, Base::Instant now)
{
    const TaskId &id = end.task;
    Occurrence &occurrence = job.occurrences[id.occurrence];
    StageProgress &progress = occurrence.stages[id.stage];
    const Stage &stage = job.spec.stages[id.stage];
    // The end of one task completes its whole gang.
    std::vector<Task> &tasks = stage.isGang ? progress.allTasks() : progress.tasks;
    for (std::uint32_t n = 0; n < tasks.size(); ++n) {
        Task &task = tasks[n];
        if ((n != id.index && !stage.isGang) || task.isDone) {
            continue;
        }
        const bool hasEnded = task.attempt == end.attempt && (stage.isGang || task.worker == worker.info.id);
        if (task.run != RunState::None && hasEnded) {
            endRun(job, {id.job, id.occurrence, id.stage, n}, task);
        } else if (task.run != RunState::None) {
            detachRun(job, {id.job, id.occurrence, id.stage, n}, task, now);
        }
        task.isDone = true;
        task.checkpoint.clear();
        ++progress.done;
    }
    if (!std::all_of(
            occurrence.stages.begin(), occurrence.stages.end(), [](const auto &it) { return it.isDone(); })) {
        return;
    }
    job.occurrences.erase(id.occurrence);
    ++job.occurrencesDone;
    const std::uint32_t all = std::max<std::uint32_t>(1, job.spec.occurrences);
    if (job.occurrencesDone >= all) {
        endJob(job, JobState::Completed, wall, now);
    }
}

void Shard::recordTaskFailure(Job &job, const TaskId &id, Task &task, Base::Instant now, WallTime wall)
{
    const Stage &stage = job.spec.stages[id.stage];
    task.failedOn = task.worker;
    endRun(job, id, task);
    // The tasks of a gang share their attempt, which is counted at the first task, and once however many of
    // them fail in it.
    Task &counted = stage.isGang ? job.occurrences[id.occurrence].stages[id.stage].tasks.front() : task;
    if (stage.isGang && std::exchange(counted.failedAttempt, task.attempt) == task.attempt) {
        return;
    }
    ++counted.failures;
    if (!stage.isLongRunning && counted.failures >= job.spec.queue.maxAttempts) {
        Base::LogLine(Base::LogLevel::Info, "task-failed-for-good")
            .with("request", job.spec.id)
            .with("task", toString(id))
            .with("failures", counted.failures);
        endJob(job, JobState::Failed, wall, now);
    }
}

// A start that was given up may have been carried out after all. A run that has been started since goes on
// elsewhere.
void Shard::completeByFormerRun(
    const Worker &worker, Job &job, const ListedEnd &end, Base::Instant now, WallTime wall)
{
    const bool isDone = end.end == RunEnd::Done && job.state == JobState::Active
        && !job.spec.stages[end.task.stage].isLongRunning;
    if (!isDone) {
        return;
    }
    const Task &task = *job.find(end.task);
    Base::LogLine(Base::LogLevel::Warning, "former-run-done")
        .with("request", end.task.job)
        .with("task", toString(end.task))
        .with("attempt", end.attempt)
        .with("worker", worker.info.id)
        .with("known_attempt", task.attempt)
        .with("known_worker", task.worker)
        .with("known_run", toString(task.run));
    completeTask(worker, job, end, wall, now);
}

void Shard::processRunEnd(Worker &worker, const ListedEnd &end, Base::Instant now, WallTime wall)
{
    if (const auto stray = worker.strayRuns.find({end.task, end.attempt}); stray != worker.strayRuns.end()) {
        endStrayRun(worker, stray, toString(end.end));
    }
    const auto it = m_jobs.find(end.task.job);
    Task *task = it != m_jobs.end() ? it->second.find(end.task) : nullptr;
    if (!task || task->isDone) {
        return;
    }
    Job &job = it->second;
    job.hasStarted = true; // short runs end before they are listed
    const bool isCurrent =
        task->run != RunState::None && task->worker == worker.info.id && task->attempt == end.attempt;
    if (!isCurrent) {
        completeByFormerRun(worker, job, end, now, wall);
        return;
    }
    Base::LogLine(Base::LogLevel::Info, "run-ended")
        .with("request", end.task.job)
        .with("task", toString(end.task))
        .with("attempt", end.attempt)
        .with("worker", worker.info.id)
        .with("end", toString(end.end));
    if (!end.checkpoint.empty()) {
        task->checkpoint = end.checkpoint;
    }
    switch (end.end) {
    case RunEnd::Done:
        worker.consecutiveFailedJobs = 0;
        learnRunTime(job, end.task, *task, worker, now);
        if (job.state == JobState::Active && !job.spec.stages[end.task.stage].isLongRunning) {
            completeTask(worker, job, end, wall, now);
        } else {
            endRun(job, end.task, *task);
        }
        return;
    case RunEnd::Failed:
        if (worker.lastFailedJob != end.task.job) {
            worker.lastFailedJob = end.task.job;
            ++worker.consecutiveFailedJobs;
        }
        if (worker.consecutiveFailedJobs >= MaxConsecutiveFailedJobs) {
            worker.backoffUntil = now + FailedJobsBackoff;
        }
        if (job.state == JobState::Active) {
            recordTaskFailure(job, end.task, *task, now, wall);
        } else {
            endRun(job, end.task, *task);
        }
        return;
    case RunEnd::Stopped:
    case RunEnd::LeaseExpired:
    case RunEnd::Broken:
    case RunEnd::Alone:
        endRun(job, end.task, *task);
        return;
    }
}

// The worker runs it no more, either because it has restarted or because it never did.
void Shard::endUnlistedRun(Job &job, const TaskId &id, Task &task, Base::Instant now)
{
    const Worker &worker = m_workers.at(task.worker);
    if (task.workerStart != 0 && task.workerStart != worker.startTime) {
        endLostRun(job, id, task, worker.runs.size(), now);
    } else {
        endRun(job, id, task);
    }
}

// A long-running task may outlive any number of workers, so what counts is whether it crashes them soon.
bool Shard::hasRunFor(Milliseconds time, const Stage &stage, const Task &task, Base::Instant now)
{
    return stage.isLongRunning && task.listedSince && now - *task.listedSince >= time;
}

void Shard::clearSuspicion(Job &job, const TaskId &id, Task &task)
{
    Worker &worker = workerFor(task.worker);
    task.crashes = 0;
    worker.suspects.erase(id);
    worker.isolatedRuns.erase(id);
    markChanged(job);
}

void Shard::orderStop(const TaskId &id, Task &task, Base::Instant now)
{
    task.run = RunState::Stopping;
    task.isStopConfirmed = false;
    task.orderedAt = now;
    m_stopping.insert(id);
    m_commands.emplace_back(StopRun{task.worker, workerFor(task.worker).token, id, task.attempt, now});
}

// Started on another worker it could run twice: the start may still be carried out, after a restart of the
// worker even if it has been stopped before.
void Shard::repeatOrStop(Job &job, const TaskId &id, Task &task, Base::Instant now)
{
    // A worker that has restarted since may have crashed under the task.
    const bool mayRepeat = job.state == JobState::Active && task.startRepeats < MaxStartRepeats
        && task.workerStart == workerFor(task.worker).startTime;
    ++task.startRepeats;
    if (!mayRepeat || !orderStart(job, id, task, now)) {
        orderStop(id, task, now);
    }
}

void Shard::endRefusedRun(Job &job, const TaskId &id, Task &task, Base::Instant now)
{
    if (task.openStart && task.openStart->until > now) {
        orderStop(id, task, now);
    } else {
        endRun(job, id, task);
    }
}

void Shard::stopRuns(Job &job, Base::Instant now)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
            auto &tasks = occurrence.stages[stage].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                Task &task = tasks[index];
                const TaskId id{job.spec.id, number, stage, index};
                switch (task.run) {
                case RunState::None:
                case RunState::Stopping:
                case RunState::Starting: // stopped once its start has been answered
                    break;
                case RunState::Planned:
                    endRun(job, id, task);
                    break;
                case RunState::Running:
                case RunState::Unanswered:
                case RunState::Inherited:
                    orderStop(id, task, now);
                    break;
                }
            }
        }
    }
}

void Shard::startAnswered(const StartRun &order, OrderResult result, std::int64_t clock, Base::Instant now)
{
    Worker &worker = workerFor(order.worker);
    if (const auto stray = worker.strayRuns.find({order.task, order.attempt});
        stray != worker.strayRuns.end()) {
        strayStartAnswered(worker, stray->second, order, result, clock, now);
        return;
    }
    const auto it = m_jobs.find(order.task.job);
    Task *task = it != m_jobs.end() ? it->second.find(order.task) : nullptr;
    if (!task || task->run != RunState::Starting || task->attempt != order.attempt) {
        return;
    }
    Job &job = it->second;
    const auto backOff = [&worker, now](Milliseconds pause) {
        worker.backoffUntil = std::max(worker.backoffUntil, now + pause);
    };
    switch (result) {
    case OrderResult::Done:
        job.hasStarted = true;
        if (order.token != worker.token) {
            task->run = RunState::Inherited; // the answer may be from before the restart of the worker
        } else if (checkIncarnation(worker, clock, order.sentAt, now)) {
            task->run = RunState::Running;
            confirmRun(job, order.task, *task);
        } else {
            task->run = RunState::Unanswered; // until the new incarnation lists it
        }
        task->confirmedAt = clock;
        task->startClock =
            order.checkpoint.empty() && task->run == RunState::Running && task->startRepeats == 0 ? clock : 0;
        if (job.spec.stages[order.task.stage].isBestEffort) {
            worker.sentPaces[order.task] = Worker::FullPace;
        }
        if (job.state != JobState::Active) {
            orderStop(order.task, *task, now);
        }
        return;
    case OrderResult::NoAnswer:
        task->run = RunState::Unanswered;
        task->orderedAt = now;
        task->openStart = {order.worker, order.sentAt + m_settings.maxOrderDelay};
        backOff(UnhealthyBackoff);
        if (job.state != JobState::Active) {
            orderStop(order.task, *task, now);
        }
        break;
    case OrderResult::Fenced:
        if (order.token == worker.token) {
            m_commands.emplace_back(RelinquishShard{"a worker has a newer owner"});
            return;
        }
        endRefusedRun(job, order.task, *task, now);
        break;
    case OrderResult::NoRoom:
        backOff(Worker::NoRoomBackoff);
        endRefusedRun(job, order.task, *task, now);
        break;
    case OrderResult::NoTicket:
        m_advice.rejected({order.task.job, order.task.occurrence, order.task.stage}, order.worker);
        endRefusedRun(job, order.task, *task, now);
        break;
    case OrderResult::Superseded:
    case OrderResult::TooLate:
        endRefusedRun(job, order.task, *task, now);
        break;
    case OrderResult::Unhealthy:
    case OrderResult::OtherInstance:
    case OrderResult::NotSent:
    case OrderResult::Rejected:
        backOff(UnhealthyBackoff);
        endRefusedRun(job, order.task, *task, now);
        break;
    }
    Base::LogLine(Base::LogLevel::Info, "start-refused")
        .with("request", order.task.job)
        .with("task", toString(order.task))
        .with("attempt", order.attempt)
        .with("worker", order.worker)
        .with("result", toString(result));
}

void Shard::stopAnswered(const StopRun &order, OrderResult result, std::int64_t clock, Base::Instant now)
{
    if (result == OrderResult::Fenced && order.token == workerFor(order.worker).token) {
        m_commands.emplace_back(RelinquishShard{"a worker has a newer owner"});
        return;
    }
    Worker &worker = workerFor(order.worker);
    const auto it = m_jobs.find(order.task.job);
    Task *task = it != m_jobs.end() ? it->second.find(order.task) : nullptr;
    const auto stray = worker.strayRuns.find({order.task, order.attempt});
    if (stray != worker.strayRuns.end()) {
        task = &stray->second.run;
    }
    if (!task || task->run != RunState::Stopping || task->attempt != order.attempt) {
        return;
    }
    if (result == OrderResult::Done && order.token == worker.token
        && checkIncarnation(worker, clock, order.sentAt, now)) {
        task->isStopConfirmed = true;
        task->confirmedAt = clock;
        worker.nextRenewal = std::min(worker.nextRenewal, now);
    }
}

void Shard::repeatStops(Base::Instant now)
{
    const auto stopping = m_stopping;
    for (const TaskId &it : stopping) {
        const auto job = m_jobs.find(it.job);
        Task *task = job != m_jobs.end() ? job->second.find(it) : nullptr;
        if (!task || task->run != RunState::Stopping || task->isStopConfirmed) {
            m_stopping.erase(it);
        } else if (workerFor(task->worker).consecutiveRenewalFailures == 0
                   && now - task->orderedAt > StopRetryDelay) {
            orderStop(it, *task, now);
        }
    }
    repeatStrayStops(now);
}

// The runs of an unreachable worker have ended once all leases that any owner gave it have expired.
void Shard::endExpiredRuns(Base::Instant now)
{
    for (auto &[id, worker] : m_workers) {
        // An owner that has just taken over has not heard of any worker yet, so most runs must not be
        // visited.
        if (!worker.isSilent() || !worker.hasRuns() || worker.earliestLeaseEnd() > now) {
            continue;
        }
        endExpiredStrayRuns(worker, now);
        std::vector<TaskId> expired;
        for (const TaskId &it : worker.runs) {
            const Task &task = *m_jobs[it.job].find(it);
            const bool mayRun = task.run == RunState::Planned || task.run == RunState::Starting
                || endOf(worker, m_jobs.at(it.job).spec.stages[it.stage].isLongRunning, task) > now;
            if (!mayRun) {
                expired.push_back(it);
            }
        }
        for (const TaskId &it : expired) {
            Job &job = m_jobs[it.job];
            const Task &task = *job.find(it);
            Base::LogLine(Base::LogLevel::Info, "lease-lapsed")
                .with("request", it.job)
                .with("task", toString(it))
                .with("worker", id)
                .with("attempt", task.attempt)
                .with("token", worker.token)
                .with("born", worker.startTime)
                .with("worker_seen_ms", milliseconds(now - worker.lastAnswer))
                .with("lease_source", toString(worker.leaseSource))
                .with("lease_set_ms", milliseconds(now - worker.leaseSetAt))
                .with("lease_end_clock", worker.orderedLeaseEnd)
                .with("clock_age_ms", worker.clockAge.count())
                .with("before_restart", task.endsBy.has_value())
                .with("assigned_to_born", task.workerStart)
                .with("ordered_ms", milliseconds(now - task.orderedAt))
                .with("confirmed_clock", task.confirmedAt)
                .with("confirmed", task.isConfirmed)
                .with("listed", task.listedSince.has_value());
            m_losses.addLapsedRun(worker.leaseSource, task.isConfirmed);
            endLostRun(job, it, *job.find(it), expired.size(), now);
        }
    }
}

UnconfirmedRuns Shard::unconfirmedRuns(const Worker &worker, Base::Instant now) const
{
    UnconfirmedRuns found;
    if (!worker.isSilent()) {
        return found;
    }
    for (const TaskId &it : worker.runs) {
        const Task &task = *m_jobs.at(it.job).find(it);
        if (task.isConfirmed || task.run == RunState::Planned || task.run == RunState::Starting) {
            continue;
        }
        ++found.runs;
        found.longestWait =
            std::max(found.longestWait,
                     std::chrono::ceil<Milliseconds>(
                         endOf(worker, m_jobs.at(it.job).spec.stages[it.stage].isLongRunning, task) - now));
    }
    return found;
}

UnconfirmedRuns Shard::unconfirmedRuns(Base::Instant now) const
{
    UnconfirmedRuns all;
    for (const auto &[id, worker] : m_workers) {
        all += unconfirmedRuns(worker, now);
    }
    return all;
}

} // namespace Jobs
