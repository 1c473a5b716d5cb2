#include "placement.h"
#include "shard.h"

#include <base/logline.h>

#include <algorithm>
#include <utility>

namespace Jobs
{

// What has not been ordered yet ends at once.
void Shard::detachRun(Job &job, const TaskId &id, Task &task, Base::Instant now)
{
    const Task run = task;
    endRun(job, id, task);
    if (run.run == RunState::Planned) {
        return;
    }
    Worker &worker = workerFor(run.worker);
    Base::LogLine(Base::LogLevel::Info, "run-detached")
        .with("request", id.job)
        .with("task", toString(id))
        .with("attempt", run.attempt)
        .with("worker", run.worker)
        .with("run", toString(run.run));
    StrayRun &stray = addStrayRun(worker, {id, run.attempt}, run);
    if (run.run != RunState::Stopping) {
        stopStrayRun(worker, id, stray, now);
    }
}

// Its job may have been removed.
StrayRun &Shard::addStrayRun(Worker &worker, const RunId &id, const Task &run)
{
    const auto [it, isNew] = worker.strayRuns.try_emplace(id);
    StrayRun &stray = it->second;
    stray.run = run;
    if (!isNew) {
        return stray;
    }
    m_strayTasks.insert(id.task);
    markSuspect(worker, id.task, run);
    const auto job = m_jobs.find(id.task.job);
    const Stage *stage = job != m_jobs.end() ? job->second.stageOf(id.task) : nullptr;
    if (stage) {
        stray.isSized = true;
        stray.isLongRunning = stage->isLongRunning;
        stray.workspace = job->second.spec.workspace;
        stray.size = stage->size;
        stray.reserved = reservedResources(*stage);
        worker.used += stray.reserved;
        m_quotaUsage.add(stray.workspace, stray.size);
    }
    return stray;
}

// Its stop has been ordered since.
void Shard::strayStartAnswered(Worker &worker,
                               StrayRun &stray,
                               const StartRun &order,
                               OrderResult result,
                               std::int64_t clock,
                               Base::Instant now)
{
    if (result == OrderResult::NoAnswer) {
        stray.run.openStart = {order.worker, order.sentAt + m_settings.maxOrderDelay};
    } else if (result == OrderResult::Fenced && order.token == worker.token) {
        m_commands.emplace_back(RelinquishShard{"a worker has a newer owner"});
    } else if (result == OrderResult::Done && order.token == worker.token
               && checkIncarnation(worker, clock, order.sentAt, now)) {
        stray.run.isConfirmed = true;
        stray.run.confirmedAt = std::max(stray.run.confirmedAt, clock);
    }
}

void Shard::strayRunListed(
    Worker &worker, OrderToken askedWith, const RunList &list, const ListedRun &run, Base::Instant now)
{
    const RunId id{run.task, run.attempt};
    auto it = worker.strayRuns.find(id);
    if (it == worker.strayRuns.end()) {
        if (list.clock < worker.previousClock) {
            return; // a later list has arrived before, without the run
        }
        const auto job = m_jobs.find(run.task.job);
        const Task *task = job != m_jobs.end() ? job->second.find(run.task) : nullptr;
        Base::LogLine(Base::LogLevel::Warning, "stray-run")
            .with("request", run.task.job)
            .with("task", toString(run.task))
            .with("attempt", run.attempt)
            .with("worker", worker.info.id)
            .with("born", list.startTime)
            .with("clock", list.clock)
            .with("asked_with", askedWith)
            .with("lease_end_clock", worker.orderedLeaseEnd)
            .with("known_attempt", task ? task->attempt : 0)
            .with("known_worker", task ? task->worker : std::string())
            .with("known_done", task && task->isDone);
        Task state;
        state.attempt = run.attempt;
        state.worker = worker.info.id;
        state.workerStart = worker.startTime;
        state.crashes = task ? task->crashes : 0;
        addStrayRun(worker, id, state);
        it = worker.strayRuns.find(id);
    }
    StrayRun &stray = it->second;
    stray.run.isConfirmed = true;
    stray.run.workerStart = worker.startTime;
    stray.run.endsBy.reset();
    stray.run.confirmedAt = std::max(stray.run.confirmedAt, list.clock);
    if (stray.run.run != RunState::Stopping || now - stray.run.orderedAt > StopRetryDelay) {
        stopStrayRun(worker, run.task, stray, now);
    }
}

void Shard::stopStrayRun(const Worker &worker, const TaskId &id, StrayRun &stray, Base::Instant now)
{
    stray.run.run = RunState::Stopping;
    stray.run.isStopConfirmed = false;
    stray.run.orderedAt = now;
    m_commands.emplace_back(StopRun{worker.info.id, worker.token, id, stray.run.attempt, now});
}

void Shard::repeatStrayStops(Base::Instant now)
{
    for (auto &[name, worker] : m_workers) {
        for (auto &[id, stray] : worker.strayRuns) {
            const bool isDue = !stray.run.isStopConfirmed && worker.consecutiveRenewalFailures == 0
                && now - stray.run.orderedAt > StopRetryDelay;
            if (isDue) {
                stopStrayRun(worker, id.task, stray, now);
            }
        }
    }
}

// A start that nothing has confirmed may still be carried out, until its stop has been confirmed or the
// worker refuses orders to its former incarnation.
void Shard::endUnlistedStrayRuns(Worker &worker, OrderToken askedWith, const RunList &list)
{
    if (askedWith != worker.token) {
        return;
    }
    for (auto it = worker.strayRuns.begin(); it != worker.strayRuns.end();) {
        const RunId &id = it->first;
        const Task &run = it->second.run;
        const bool isListed =
            std::any_of(list.running.begin(), list.running.end(), [&id](const ListedRun &listed) {
                return listed.task == id.task && listed.attempt == id.attempt;
            });
        const bool isDecided = run.isConfirmed || run.isStopConfirmed || run.workerStart != worker.startTime;
        const bool hasEnded = !isListed && isDecided && list.clock > run.confirmedAt;
        it = hasEnded ? endStrayRun(worker, it, "unlisted") : std::next(it);
    }
}

void Shard::endExpiredStrayRuns(Worker &worker, Base::Instant now)
{
    for (auto it = worker.strayRuns.begin(); it != worker.strayRuns.end();) {
        const bool hasEnded = endOf(worker, it->second.isLongRunning, it->second.run) <= now;
        it = hasEnded ? endStrayRun(worker, it, "lease-lapsed") : std::next(it);
    }
}

Worker::StrayRuns::iterator
Shard::endStrayRun(Worker &worker, Worker::StrayRuns::iterator it, std::string_view reason)
{
    const TaskId task = it->first.task;
    Base::LogLine(Base::LogLevel::Info, "stray-run-ended")
        .with("request", task.job)
        .with("task", toString(task))
        .with("attempt", it->first.attempt)
        .with("worker", worker.info.id)
        .with("end", reason);
    worker.used -= it->second.reserved;
    m_quotaUsage.remove(it->second.workspace, it->second.size);
    m_strayTasks.erase(m_strayTasks.find(task));
    m_hasChanged = true;
    const auto next = worker.strayRuns.erase(it);
    worker.runEnded(task);
    return next;
}

std::size_t Shard::strayRunCount() const
{
    return m_strayTasks.size();
}

} // namespace Jobs
