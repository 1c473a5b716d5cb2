#include "placement.h"
#include "queueorder.h"
#include "shard.h"

#include <base/logline.h>

#include <algorithm>

namespace Jobs
{

namespace
{

// A long-running task counts as serving if it gets all of the processor time that it requests.
constexpr int FullCpuPercent = 100;

// A run with checkpoints is not evicted right after its start, because its first checkpoint may be due.
constexpr Milliseconds MinRunTimeBeforeEviction{300};

// Total time of a stop, the next start and resuming from a checkpoint.
constexpr Milliseconds RelocationTime{600};

// Runs of later attempts are not evicted any more.
constexpr std::uint32_t MaxEvictableAttempt = 2;

// Longest time from an order of an earlier owner until the end of a run that it stops is listed: the call in
// flight and the stop itself.
constexpr Milliseconds EarlierStopTime{2000};

bool canStopAndResume(const Stage &stage)
{
    return stage.canCheckpoint && !stage.isGang;
}

} // namespace

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
    const StageProgress &progress = job.occurrences.at(id.occurrence).stages[id.stage];
    auto unavailable = static_cast<std::uint32_t>(progress.count - progress.tasks.size());
    const bool isOnStayingWorker = !m_workers.at(task.worker).info.isDraining;
    for (const Task &it : progress.tasks) {
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
        || (now - m_begunAt >= EarlierStopTime && unavailableSiblings(job, id, task) < stage.maxUnavailable);
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
    const Milliseconds expected = job.expectedTime(occurrence, id.stage);
    if (!canMeetObjective(job, id.occurrence, occurrence, wall, expected)) {
        return EvictionRule::Always;
    }
    const auto spent = std::min(std::chrono::duration_cast<Milliseconds>(now - task.orderedAt), expected);
    const bool staysOnTime = canMeetObjective(job, id.occurrence, occurrence, wall, spent - RelocationTime);
    return expected - spent > RelocationTime && staysOnTime ? EvictionRule::IfPlaceFound
                                                            : EvictionRule::Never;
}

Milliseconds Shard::timeToEmpty(const Worker &worker, Base::Instant now) const
{
    Milliseconds longest{};
    for (const TaskId &it : worker.runs) {
        const Job &job = m_jobs.find(it.job)->second;
        const Occurrence &occurrence = job.occurrences.at(it.occurrence);
        const Task &task = occurrence.stages[it.stage].tasks[it.index];
        const auto spent = std::chrono::duration_cast<Milliseconds>(now - task.orderedAt);
        longest = std::max(longest, expectedRest(job, occurrence, it.stage, spent));
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
    if (Worker *place = chooseWorker(stage, candidatesFor(job->second, id.occurrence, id.stage), now)) {
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
        if (rule == EvictionRule::IfPlaceFound) {
            Worker *place = chooseWorker(stage, candidatesFor(job, it.occurrence, it.stage), now);
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

} // namespace Jobs
