#include "placement.h"
#include "queueorder.h"
#include "shard.h"

#include <base/logline.h>

#include <algorithm>
#include <utility>

namespace Jobs
{

namespace
{

// Workers list at most this many ends in one answer and the remaining ones in the next.
constexpr std::size_t MaxEndsInList = 500;

// Maximum drift of a worker's clock. With a slow clock leases last longer than by the clock of the owner.
constexpr int ClockDriftPerCent = 3;

// Maximum delay between sending a lease and its arrival.
constexpr Milliseconds LeaseMargin{300};

// Delay before a worker that did not answer is queried again.
constexpr Milliseconds RetryDelay{250};

// A worker with ends that are not stored yet lists them again at once, so it is queried at this interval.
constexpr Milliseconds UnstoredEndsDelay{300};

// A long-running task counts as serving if it gets all of the processor time that it requests.
constexpr int FullCpuPercent = 100;

// Best-effort tasks are slowed down above the high and sped up below the low share of the tail latency
// target. Between the two their pace is kept; pace is in percent.
constexpr double HighTailShare = 0.85;
constexpr double LowTailShare = 0.6;
constexpr int FullPace = 100;
constexpr int PaceStep = 10;

// A task that crashes its workers does so soon after its start. A long-running one is not suspected of a
// crash after the first time, and of no earlier ones after the second.
constexpr Milliseconds MaxCrashDelay{3000};
constexpr Milliseconds ProvenRunTime{10'000};

constexpr Milliseconds StopRetryDelay{250};
constexpr Milliseconds NoRoomBackoff{150};
constexpr Milliseconds UnhealthyBackoff{500};

// A run with checkpoints is not evicted right after its start, because its first checkpoint may be due.
constexpr Milliseconds MinRunTimeBeforeEviction{300};

// Total time of a stop, the next start and resuming from a checkpoint.
constexpr Milliseconds RelocationTime{600};

// Runs of later attempts are not evicted any more.
constexpr std::uint32_t MaxEvictableAttempt = 2;

std::int64_t milliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

bool canStopAndResume(const Stage &stage)
{
    return stage.canCheckpoint && !stage.isGang;
}

// A worker on which runs of this many jobs in a row failed gets no new runs for the back-off time.
constexpr int MaxConsecutiveFailedJobs = 3;
constexpr Milliseconds FailedJobsBackoff{2500};

} // namespace

// A worker that this owner has forgotten may have seen a raised token, so an entry begins with the highest
// one.
Worker &Shard::workerFor(const std::string &id)
{
    const auto [it, isNew] = m_workers.try_emplace(id);
    if (isNew) {
        it->second.info.id = id;
        it->second.token = m_highestToken;
    }
    return it->second;
}

// A restarted worker has none of its earlier runs, but an order that was sent before the restart was noticed
// may have started its run after it. So the first run list that the restarted worker is asked for decides,
// and the new token fences orders that are still on their way. The lease end of such an order is in the time
// of the worker's clock before the restart, usually far ahead, so the worker may have granted the longest
// lease.
void Shard::handleWorkerRestart(Worker &worker, std::int64_t startTime, Base::Instant now)
{
    Base::LogLine(Base::LogLevel::Info, "worker-restarted")
        .with("worker", worker.info.id)
        .with("runs", worker.runs.size())
        .with("born", startTime)
        .with("born_before", worker.startTime)
        .with("token", worker.token + 1)
        .with("worker_seen_ms", milliseconds(now - worker.lastAnswer))
        .with("lease_ms", milliseconds(worker.leaseExpiresBy - now))
        .with("lease_source", worker.leaseSource);
    worker.startTime = startTime;
    ++worker.token;
    m_highestToken = std::max(m_highestToken, worker.token);
    worker.isFenced = false;
    worker.listedRunsEndBy = worker.earliestLeaseEnd();
    worker.setLease(now + m_settings.maxOrderDelay + longestTime(m_settings.leaseLimit), "restart", now);
    worker.mayHoldLongLease = true;
    worker.hasAnswered = false;
    worker.clock = 0;
    worker.processedCursor = 0;
    worker.ackCursor = 0;
    worker.consecutiveFailedJobs = 0;
    worker.isolatedUntil = {};
    worker.nextRenewal = now;
    for (const TaskId &it : worker.runs) {
        Task &task = *m_jobs[it.job].find(it);
        const bool isDecidedByList =
            task.run == RunState::Running || (task.run == RunState::Stopping && task.isStopConfirmed);
        if (isDecidedByList) {
            task.run = RunState::Inherited;
        }
        task.confirmedAt = 0;
        task.isStopConfirmed = false;
        if (task.run == RunState::Stopping) {
            m_stopping.insert(it);
        }
        if (std::exchange(task.isListed, false) && !task.endsBy) {
            task.endsBy = worker.listedRunsEndBy;
        }
    }
}

void Shard::endRun(Job &job, const TaskId &id, Task &task)
{
    const auto it = m_workers.find(task.worker);
    if (it != m_workers.end() && it->second.runs.erase(id) > 0) {
        it->second.suspects.erase(id);
        it->second.isolatedRuns.erase(id);
        it->second.used -= reservedResources(job.spec.stages[id.stage]);
        m_quotaUsage.remove(job.spec.workspace, job.spec.stages[id.stage].size);
    }
    task.run = RunState::None;
    task.worker.clear();
    task.workerStart = 0;
    task.isListed = false;
    task.endsBy.reset();
    task.listedSince.reset();
    task.percent = 0;
    task.isStopConfirmed = false;
    markChanged(job);
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

void Shard::completeTask(Job &job, const TaskId &id, WallTime wall, Base::Instant now)
{
    Occurrence &occurrence = job.occurrences[id.occurrence];
    StageProgress &progress = occurrence.stages[id.stage];
    const Stage &stage = job.spec.stages[id.stage];
    // The end of one task completes its whole gang.
    for (std::uint32_t n = 0; n < progress.tasks.size(); ++n) {
        Task &task = progress.tasks[n];
        if ((n != id.index && !stage.isGang) || task.isDone) {
            continue;
        }
        if (task.run != RunState::None) {
            endRun(job, {id.job, id.occurrence, id.stage, n}, task);
        }
        task.isDone = true;
        task.checkpoint.clear();
        ++progress.done;
    }
    if (!std::all_of(
            occurrence.stages.begin(), occurrence.stages.end(), [](const auto &it) { return it.isDone(); })) {
        return;
    }
    occurrence.isDone = true;
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

void Shard::processRunEnd(Worker &worker, const ListedEnd &end, Base::Instant now, WallTime wall)
{
    const auto it = m_jobs.find(end.task.job);
    Task *task = it != m_jobs.end() ? it->second.find(end.task) : nullptr;
    if (!task || task->isDone || task->run == RunState::None || task->worker != worker.info.id
        || task->attempt != end.attempt) {
        return;
    }
    Job &job = it->second;
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
        if (job.state == JobState::Active && !job.spec.stages[end.task.stage].isLongRunning) {
            completeTask(job, end.task, wall, now);
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

void Shard::processRunList(
    Worker &worker, OrderToken askedWith, const RunList &list, Base::Instant now, WallTime wall)
{
    // Sent before the latest restart. A list that was asked for with the token raised for the restart is
    // newer: the worker's entry was wrong, or the worker's time of day has been set back.
    if (list.startTime != 0 && list.startTime < worker.startTime && askedWith != worker.token) {
        return;
    }
    if (list.startTime != worker.startTime && worker.startTime != 0 && list.startTime != 0) {
        handleWorkerRestart(worker, list.startTime, now);
    }
    worker.startTime = list.startTime != 0 ? list.startTime : worker.startTime;
    if (!worker.isFenced && askedWith == worker.token) {
        worker.isFenced = true;
        worker.setLease(now + longestTime(m_settings.leaseLimit), "first-list", now);
    }
    withdrawCrashes(worker);
    m_hasChanged = m_hasChanged || !worker.hasAnswered || !list.ended.empty();
    worker.hasAnswered = true;
    worker.listedRunsEndBy.reset();
    worker.clock = list.clock;
    worker.clockReadAt = now;
    worker.lastAnswer = now;
    std::vector<TaskId> listed;
    for (const ListedEnd &it : list.ended) {
        if (it.number > worker.processedCursor) {
            processRunEnd(worker, it, now, wall);
            worker.processedCursor = it.number;
        }
    }
    for (const ListedRun &it : list.running) {
        const auto found = m_jobs.find(it.task.job);
        Task *task = found != m_jobs.end() ? found->second.find(it.task) : nullptr;
        const bool isOurs =
            task && !task->isDone && task->worker == worker.info.id && task->attempt == it.attempt;
        if (!isOurs) {
            Base::LogLine(Base::LogLevel::Warning, "stray-run")
                .with("request", it.task.job)
                .with("task", toString(it.task))
                .with("attempt", it.attempt)
                .with("worker", worker.info.id)
                .with("born", list.startTime)
                .with("clock", list.clock)
                .with("asked_with", askedWith)
                .with("lease_end_clock", worker.orderedLeaseEnd)
                .with("known_attempt", task ? task->attempt : 0)
                .with("known_worker", task ? task->worker : std::string());
            m_commands.emplace_back(StopRun{worker.info.id, worker.token, it.task, it.attempt});
            worker.backoffUntil = std::max(worker.backoffUntil, now + NoRoomBackoff);
            continue;
        }
        listed.push_back(it.task);
        if (!it.checkpoint.empty()) {
            task->checkpoint = it.checkpoint;
        }
        task->percent = it.percent;
        task->isListed = true;
        task->endsBy.reset();
        if (found->second.state != JobState::Active) {
            if (task->run != RunState::Stopping) {
                orderStop(it.task, *task, now);
            }
            continue;
        }
        if (task->run == RunState::Unanswered || task->run == RunState::Inherited
            || task->run == RunState::Running) {
            task->run = RunState::Running;
            task->confirmedAt = list.clock;
            found->second.hasStarted = true;
            task->listedSince = task->listedSince.value_or(now);
            if (task->crashes > 0
                && hasRunFor(ProvenRunTime, found->second.spec.stages[it.task.stage], *task, now)) {
                clearSuspicion(found->second, it.task, *task);
            }
        }
    }
    throttleBestEffortRuns(worker, list);
    if (list.ended.size() < MaxEndsInList) {
        resolveUnlistedRuns(worker, askedWith, list, listed, now);
    }
}

// Best-effort tasks are slowed down before the tail latency of the serving tasks reaches its target, and sped
// up again step by step.
void Shard::throttleBestEffortRuns(Worker &worker, const RunList &list)
{
    double worst = 0; ///< tail latency as a share of its target
    std::vector<const ListedRun *> bestEffortRuns;
    for (const ListedRun &it : list.running) {
        const auto job = m_jobs.find(it.task.job);
        const Stage *stage = job != m_jobs.end() ? job->second.stageOf(it.task) : nullptr;
        if (!stage) {
            continue;
        }
        if (stage->isBestEffort) {
            bestEffortRuns.push_back(&it);
        } else if (stage->tailTarget.count() > 0) {
            worst = std::max(worst, double(it.load) / double(stage->tailTarget.count()));
        }
    }
    std::erase_if(worker.sentPaces, [&worker](const auto &it) { return worker.runs.count(it.first) == 0; });
    if (bestEffortRuns.empty()) {
        worker.bestEffortPercent = FullPace;
        return;
    }
    // The current pace is unknown if an earlier owner set it or if the order for it got no answer.
    const bool isAllKnown =
        std::all_of(bestEffortRuns.begin(), bestEffortRuns.end(), [&worker](const ListedRun *it) {
            return worker.sentPaces.count(it->task) > 0;
        });
    if (!isAllKnown) {
        worker.bestEffortPercent = std::min(worker.bestEffortPercent, PaceStep);
    } else if (worst > HighTailShare) {
        worker.bestEffortPercent = worst > 1 ? worker.bestEffortPercent / 4 : worker.bestEffortPercent / 2;
    } else if (worst < LowTailShare) {
        worker.bestEffortPercent = std::min(FullPace, worker.bestEffortPercent + PaceStep);
    }
    for (const ListedRun *it : bestEffortRuns) {
        const auto known = worker.sentPaces.find(it->task);
        if (known == worker.sentPaces.end() || known->second != worker.bestEffortPercent) {
            m_commands.emplace_back(
                PaceRun{worker.info.id, worker.token, it->task, it->attempt, worker.bestEffortPercent});
        }
        worker.sentPaces[it->task] = worker.bestEffortPercent;
    }
}

void Shard::paceAnswered(const PaceRun &order, OrderResult result)
{
    const auto worker = m_workers.find(order.worker);
    if (result == OrderResult::Done || worker == m_workers.end()) {
        return;
    }
    Base::LogLine(Base::LogLevel::Warning, "pace-not-set")
        .with("request", order.task.job)
        .with("task", toString(order.task))
        .with("worker", order.worker)
        .with("percent", order.percent)
        .with("result", toString(result));
    worker->second.sentPaces.erase(order.task);
}

// Handles runs that the worker lists neither as running nor as ended. Answers on two connections may overtake
// each other, so a list that is older than the worker's latest answer about a run is ignored for that run.
void Shard::resolveUnlistedRuns(Worker &worker,
                                OrderToken askedWith,
                                const RunList &list,
                                const std::vector<TaskId> &listed,
                                Base::Instant now)
{
    const auto runs = worker.runs;
    for (const TaskId &it : runs) {
        if (std::find(listed.begin(), listed.end(), it) != listed.end()) {
            continue;
        }
        Job &job = m_jobs[it.job];
        Task &task = *job.find(it);
        switch (task.run) {
        case RunState::None:
        case RunState::Planned:
        case RunState::Starting:
            break;
        case RunState::Running:
            if (list.clock > task.confirmedAt) {
                Base::LogLine(Base::LogLevel::Warning, "run-vanished")
                    .with("request", it.job)
                    .with("task", toString(it))
                    .with("worker", worker.info.id)
                    .with("attempt", task.attempt)
                    .with("clock", list.clock)
                    .with("confirmed_clock", task.confirmedAt)
                    .with("born", list.startTime)
                    .with("asked_with", askedWith);
                endRun(job, it, task);
            }
            break;
        case RunState::Inherited:
            if (askedWith == worker.token) {
                endUnlistedRun(job, it, task, now);
            }
            break;
        case RunState::Unanswered:
            if (now - task.orderedAt > m_settings.startAnswerTimeout) {
                orderStop(it, task, now);
            }
            break;
        case RunState::Stopping:
            if (task.isStopConfirmed && list.clock > task.confirmedAt) {
                endUnlistedRun(job, it, task, now);
            }
            break;
        }
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
    m_commands.emplace_back(StopRun{task.worker, workerFor(task.worker).token, id, task.attempt});
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
    const auto it = m_jobs.find(order.task.job);
    Task *task = it != m_jobs.end() ? it->second.find(order.task) : nullptr;
    if (!task || task->run != RunState::Starting || task->attempt != order.attempt) {
        return;
    }
    Job &job = it->second;
    Worker &worker = workerFor(order.worker);
    const auto backOff = [&worker, now](Milliseconds pause) {
        worker.backoffUntil = std::max(worker.backoffUntil, now + pause);
    };
    switch (result) {
    case OrderResult::Done:
        // An answer to an earlier token may be from before the restart of the worker.
        task->run = order.token == worker.token ? RunState::Running : RunState::Inherited;
        task->confirmedAt = clock;
        if (job.spec.stages[order.task.stage].isBestEffort) {
            worker.sentPaces[order.task] = FullPace;
        }
        if (job.state != JobState::Active) {
            orderStop(order.task, *task, now);
        }
        return;
    case OrderResult::NoAnswer:
        task->run = RunState::Unanswered;
        task->orderedAt = now;
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
        endRun(job, order.task, *task);
        break;
    case OrderResult::NoRoom:
        backOff(NoRoomBackoff);
        endRun(job, order.task, *task);
        break;
    case OrderResult::NoTicket:
        m_advice.rejected({order.task.job, order.task.occurrence, order.task.stage}, order.worker);
        endRun(job, order.task, *task);
        break;
    case OrderResult::Superseded:
    case OrderResult::TooLate:
        endRun(job, order.task, *task);
        break;
    case OrderResult::Unhealthy:
    case OrderResult::OtherInstance:
    case OrderResult::NotSent:
    case OrderResult::Rejected:
        backOff(UnhealthyBackoff);
        endRun(job, order.task, *task);
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
    const auto it = m_jobs.find(order.task.job);
    Task *task = it != m_jobs.end() ? it->second.find(order.task) : nullptr;
    if (!task || task->run != RunState::Stopping || task->attempt != order.attempt) {
        return;
    }
    Worker &worker = workerFor(order.worker);
    if (result == OrderResult::Done && order.token == worker.token) {
        task->isStopConfirmed = true;
        task->confirmedAt = clock;
        worker.nextRenewal = std::min(worker.nextRenewal, now);
    }
}

void Shard::renewAnswered(
    const RenewLease &order, OrderResult result, const RunList &list, Base::Instant now, WallTime wall)
{
    const auto it = m_workers.find(order.worker);
    if (it == m_workers.end()) {
        return;
    }
    Worker &worker = it->second;
    worker.isRenewalPending = false;
    if (result == OrderResult::Fenced && order.token == worker.token) {
        m_commands.emplace_back(RelinquishShard{"a worker has a newer owner"});
        return;
    }
    if (result != OrderResult::Done) {
        if (++worker.consecutiveRenewalFailures == 1) {
            Base::LogLine(Base::LogLevel::Warning, "worker-lost")
                .with("worker", worker.info.id)
                .with("runs", worker.runs.size())
                .with("result", toString(result));
        }
        worker.nextRenewal = now + RetryDelay;
        return;
    }
    if (worker.consecutiveRenewalFailures > 0) {
        Base::LogLine(Base::LogLevel::Info, "worker-regained").with("worker", worker.info.id);
        worker.consecutiveRenewalFailures = 0;
        m_hasChanged = true;
    }
    processRunList(worker, order.token, list, now, wall);
    worker.nextRenewal = worker.processedCursor > worker.ackCursor ? now + UnstoredEndsDelay : now;
}

Milliseconds Shard::longestTime(Milliseconds lease)
{
    return lease + lease * ClockDriftPerCent / 100 + LeaseMargin;
}

std::int64_t Shard::leaseEnd(Worker &worker, Base::Instant now) const
{
    const auto sinceRead = std::chrono::duration_cast<Milliseconds>(now - worker.clockReadAt);
    if (const Base::Instant until = now + longestTime(m_settings.lease); until >= worker.leaseExpiresBy) {
        worker.setLease(until, "order", now);
    }
    worker.clockAge = sinceRead;
    worker.orderedLeaseEnd = worker.clock + (sinceRead + m_settings.lease).count();
    return worker.orderedLeaseEnd;
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
}

// The lease of a worker that stopped answering is not renewed until it answers again, so that the time by
// which its runs have ended is known.
void Shard::sendRenewals(Base::Instant now)
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        Worker &worker = it->second;
        if (!worker.isListed && worker.runs.empty() && !worker.isRenewalPending
            && worker.leaseExpiresBy <= now) {
            it = m_workers.erase(it);
            continue;
        }
        if (!worker.isRenewalPending && worker.nextRenewal <= now && worker.isQueried()) {
            RenewLease ask;
            ask.worker = worker.info.id;
            ask.token = worker.token;
            const bool mayRenew = worker.hasAnswered && worker.consecutiveRenewalFailures == 0
                && (!worker.isLeaseRecorded || m_isOwnerRecordStored);
            if (mayRenew) {
                ask.leaseEnd = leaseEnd(worker, now);
                ask.ackCursor = worker.ackCursor;
                ask.longPollTime = worker.runs.empty() ? Worker::LongestQuery : m_settings.renewal;
            }
            worker.isRenewalPending = true;
            m_commands.emplace_back(std::move(ask));
        }
        ++it;
    }
}

bool Shard::isServing(const Task &task) const
{
    const auto worker = m_workers.find(task.worker);
    return task.run == RunState::Running && task.percent >= FullCpuPercent && worker != m_workers.end()
        && worker->second.hasAnswered && worker->second.consecutiveRenewalFailures == 0;
}

bool Shard::isDrainDeadlineNear(const Worker &worker, Base::Instant now) const
{
    return worker.drainDeadline && *worker.drainDeadline - m_settings.drainReserve <= now;
}

std::uint32_t Shard::unavailableSiblings(const Job &job, const TaskId &id, const Task &task) const
{
    std::uint32_t unavailable = 0;
    const bool isOnStayingWorker = !m_workers.at(task.worker).info.isDraining;
    for (const Task &it : job.occurrences.at(id.occurrence).stages[id.stage].tasks) {
        const bool isAvailable =
            isServing(it) && !(isOnStayingWorker && m_workers.at(it.worker).info.isDraining);
        unavailable += &it != &task && !isAvailable ? 1 : 0;
    }
    return unavailable;
}

// A long-running task may be evicted only while fewer than Stage::maxUnavailable other tasks of its stage are
// unavailable, and only if another worker has room for it. Tasks on draining workers will be unavailable
// soon, so they count as unavailable for the tasks on other workers. They are evicted first, and without this
// limit once the drain deadline is near. Tasks without checkpoints that end by themselves are stopped only
// then.
bool Shard::isEvictionAllowed(
    const Job &job, const TaskId &id, const Task &task, const Worker &worker, Base::Instant now) const
{
    const Stage &stage = job.spec.stages[id.stage];
    return !stage.isLongRunning || isDrainDeadlineNear(worker, now) || stage.maxUnavailable == 0
        || unavailableSiblings(job, id, task) < stage.maxUnavailable;
}

void Shard::evictRuns(Base::Instant now, WallTime wall)
{
    m_candidates.clear();
    Reservations reserved;
    for (const TaskId &it : m_stopping) {
        reserveDestination(it, now, reserved);
    }
    for (const bool isDraining : {true, false}) {
        for (auto &[id, worker] : m_workers) {
            const bool isToBeEmptied = worker.evacuatedUntil > now || worker.drainDeadline;
            if (worker.drainDeadline.has_value() == isDraining && worker.consecutiveRenewalFailures == 0
                && isToBeEmptied) {
                evictRuns(worker, now, wall, reserved);
            }
        }
    }
}

// A task with checkpoints loses next to nothing by a stop, and waiting for its end withholds a machine from
// the pool that needs it. But it may have to wait for room again, so it is evicted only if its job is late
// anyway, or if the job stays on time in spite of the relocation and another worker has room.
// MaxEvictableAttempt prevents repeated evictions.
Shard::EvictionRule Shard::evictionRule(const Job &job,
                                        const TaskId &id,
                                        const Task &task,
                                        const Worker &worker,
                                        Base::Instant now,
                                        WallTime wall) const
{
    const Stage &stage = job.spec.stages[id.stage];
    if (task.run != RunState::Running) {
        return EvictionRule::Never;
    }
    if (stage.isLongRunning) {
        return isEvictionAllowed(job, id, task, worker, now) ? EvictionRule::IfPlaceFound
                                                             : EvictionRule::Never;
    }
    if (isDrainDeadlineNear(worker, now)) {
        return EvictionRule::IfPlaceFound;
    }
    if (!canStopAndResume(stage) || task.attempt > MaxEvictableAttempt
        || now - task.orderedAt < MinRunTimeBeforeEviction) {
        return EvictionRule::Never;
    }
    const Occurrence &occurrence = job.occurrences.at(id.occurrence);
    if (!canMeetObjective(job, id.occurrence, occurrence, wall, stage.estimate)) {
        return EvictionRule::Always;
    }
    const auto spent =
        std::min(std::chrono::duration_cast<Milliseconds>(now - task.orderedAt), stage.estimate);
    const bool staysOnTime = canMeetObjective(job, id.occurrence, occurrence, wall, spent - RelocationTime);
    return stage.estimate - spent > RelocationTime && staysOnTime ? EvictionRule::IfPlaceFound
                                                                  : EvictionRule::Never;
}

Milliseconds Shard::timeToEmpty(const Worker &worker, Base::Instant now) const
{
    Milliseconds longest{};
    for (const TaskId &it : worker.runs) {
        const Job &job = m_jobs.find(it.job)->second;
        const Stage &stage = job.spec.stages[it.stage];
        const Task &task = job.occurrences.at(it.occurrence).stages[it.stage].tasks[it.index];
        const auto spent = std::chrono::duration_cast<Milliseconds>(now - task.orderedAt);
        longest = std::max(longest, stage.estimate - spent);
    }
    return longest;
}

// A task that is being stopped for relocation needs its new place soon, so that place is not available to
// other evicted tasks.
void Shard::reserveDestination(const TaskId &id, Base::Instant now, Reservations &reserved)
{
    const auto job = m_jobs.find(id.job);
    const Task *task = job != m_jobs.end() ? job->second.find(id) : nullptr;
    if (!task || task->run != RunState::Stopping || job->second.state != JobState::Active) {
        return;
    }
    const Stage &stage = job->second.spec.stages[id.stage];
    StageProgress &progress = job->second.occurrences[id.occurrence].stages[id.stage];
    if (Worker *place = chooseWorker(stage, candidatesFor(job->second, stage, progress), now)) {
        reserved.reserve(*place, reservedResources(stage));
    }
}

void Shard::evictRuns(Worker &worker, Base::Instant now, WallTime wall, Reservations &reserved)
{
    const auto runs = worker.runs;
    for (const TaskId &it : runs) {
        Job &job = m_jobs[it.job];
        Task &task = *job.find(it);
        const Stage &stage = job.spec.stages[it.stage];
        const EvictionRule rule = evictionRule(job, it, task, worker, now, wall);
        if (rule == EvictionRule::Never) {
            continue;
        }
        StageProgress &progress = job.occurrences[it.occurrence].stages[it.stage];
        if (rule == EvictionRule::IfPlaceFound) {
            Worker *place = chooseWorker(stage, candidatesFor(job, stage, progress), now);
            if (!place) {
                continue;
            }
            if (!stage.isLongRunning) {
                reserved.reserve(*place, reservedResources(stage));
            }
        }
        Base::LogLine(Base::LogLevel::Info, "run-moved-off")
            .with("request", it.job)
            .with("task", toString(it))
            .with("worker", worker.info.id)
            .with("worker_seen_ms", milliseconds(now - worker.lastAnswer))
            .with("others_away", stage.isLongRunning ? unavailableSiblings(job, it, task) : 0)
            .with("most_away", stage.maxUnavailable)
            .with("draining", worker.info.isDraining);
        orderStop(it, task, now);
    }
}

// The runs of an unreachable worker have ended once all leases that any owner gave it have expired.
void Shard::endExpiredRuns(Base::Instant now)
{
    for (auto &[id, worker] : m_workers) {
        // An owner that has just taken over has not heard of any worker yet, so most runs must not be
        // visited.
        if (!worker.isSilent() || worker.runs.empty() || worker.earliestLeaseEnd() > now) {
            continue;
        }
        std::vector<TaskId> expired;
        for (const TaskId &it : worker.runs) {
            const Task &task = *m_jobs[it.job].find(it);
            const bool mayRun = task.run == RunState::Planned || task.run == RunState::Starting
                || task.endsBy.value_or(worker.leaseExpiresBy) > now;
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
                .with("lease_source", worker.leaseSource)
                .with("lease_set_ms", milliseconds(now - worker.leaseSetAt))
                .with("lease_end_clock", worker.orderedLeaseEnd)
                .with("clock_age_ms", worker.clockAge.count())
                .with("before_restart", task.endsBy.has_value());
            endLostRun(job, it, *job.find(it), expired.size(), now);
        }
    }
}

} // namespace Jobs
