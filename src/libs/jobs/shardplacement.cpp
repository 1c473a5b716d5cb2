#include "jobrecord.h"
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

constexpr Milliseconds SweepPeriod{1000};

constexpr Milliseconds RunTimesLogPeriod{10'000};

// Tasks that found no worker are tried again after this, since the back-off of workers is of that order.
constexpr Milliseconds PlacementRetryPeriod{100};

// Interval between the checks for runs to evict and for stops to repeat.
constexpr Milliseconds EvictionPeriod{50};

// A worker that a task waits to have for itself gets no new runs for this long, renewed by each placement. At
// most one of this many workers is emptied at the same time.
constexpr Milliseconds EmptyingHold{300};
constexpr std::size_t EmptiedDivisor = 8;

// An isolated run is new for this long. A worker that was withheld for as long as it may be is not withheld
// again until the pause is over.
constexpr Milliseconds NewRunTime{1000};
constexpr Milliseconds IsolationPause{250};

// For how long after its last loss a task waits for a worker to itself.
constexpr Milliseconds MaxEmptyingTime{1500};

// The same for a worker on which no other such task is new.
constexpr Milliseconds MaxApartTime{2500};

// Occurrences of at most this part of MemoryLimits::begunTasks may exceed it by half, so that they need not
// wait for the end of large ones.
constexpr std::uint64_t SmallOccurrenceDivisor = 100;

bool isOfStage(const TaskId &task, std::string_view job, std::uint32_t occurrence, std::uint32_t stage)
{
    return task.job == job && task.occurrence == occurrence && task.stage == stage;
}

} // namespace

void Shard::addDueOccurrences(Job &job, WallTime wall)
{
    const std::uint32_t unopened = job.unopenedOccurrences(wall + m_settings.occurrenceLead);
    if (unopened == 0) {
        return;
    }
    const auto touched = static_cast<std::uint64_t>(
        std::count_if(job.occurrences.begin(), job.occurrences.end(), [](const auto &it) {
            return it.second.isTouched();
        }));
    const std::uint64_t most = std::min(job.openLimit(), touched + job.untouchedLimit());
    for (std::uint32_t n = 0; n < unopened && job.occurrences.size() < most; ++n) {
        updateExpectations(job, job.addOccurrence(job.nextOccurrence));
        m_hasChanged = true;
    }
}

bool Shard::mayBegin(const Occurrence &occurrence) const
{
    const std::uint64_t size = occurrence.size();
    const std::uint64_t limit = m_memoryLimits.begunTasks;
    const std::uint64_t most = size * SmallOccurrenceDivisor <= limit ? limit / 2 * 3 : limit;
    return m_begunTasks == 0 || m_begunTasks + size <= most;
}

void Shard::processDue(Base::Instant now, WallTime wall)
{
    endExpiredRuns(now);
    if (m_nextSweep <= now || std::exchange(m_hasDeadlyTask, false)) {
        giveUpDeadlyJobs(wall, now);
    }
    if (m_nextSweep <= now) {
        m_nextSweep = now + SweepPeriod;
        m_lostRuns.expire(now);
        removeEndedJobs(wall);
        checkRedirectedJobs(wall);
        logWaitingJobs(now);
        logShares();
        logUnplaceableTasks(now);
        if (m_nextRunTimesLog <= now) {
            m_nextRunTimesLog = now + RunTimesLogPeriod;
            logRunTimes();
        }
        m_hasChanged = true;
    }
    if (m_nextOccurrenceDue <= now) {
        m_nextOccurrenceDue = now + SweepPeriod;
        for (Job *job : m_active) {
            if (!job->spec.isTimed()) {
                continue;
            }
            addDueOccurrences(*job, wall);
            // One that is due already is opened by a placement.
            const Milliseconds left = job->due(job->nextOccurrence) - m_settings.occurrenceLead - wall;
            if (job->nextOccurrence < job->spec.occurrences && left > Milliseconds::zero()
                && left < SweepPeriod) {
                m_nextOccurrenceDue = std::min<Base::Instant>(m_nextOccurrenceDue, now + left);
            }
        }
    }
    if (m_batch && now - m_batch->sentAt > m_settings.appendTimeout) {
        refuseUnsentJobs(now);
    }
    m_hasChanged = m_hasChanged || m_nextPlacementRetry <= now;
    if (!m_batch && !m_isMembershipLapsed && m_hasChanged && m_lastBatchAt + m_settings.batchPeriod <= now) {
        m_hasChanged = false;
        place(now, wall);
        sendBatch(now);
    }
    if (m_nextEviction <= now) {
        m_nextEviction = now + EvictionPeriod;
        evictRuns(now, wall);
        repeatStops(now);
    }
    sendRenewals(now);
}

Base::Instant Shard::nextDue(Base::Instant now) const
{
    Base::Instant due = std::min(m_nextSweep, m_nextOccurrenceDue);
    if (!m_batch && !m_isMembershipLapsed) {
        due = std::min<Base::Instant>(
            due, m_hasChanged ? m_lastBatchAt + m_settings.batchPeriod : m_nextPlacementRetry);
    }
    if (m_batch) {
        due = std::min<Base::Instant>(
            due,
            std::max<Base::Instant>(now + Milliseconds(100), m_batch->sentAt + m_settings.appendTimeout));
    }
    for (const auto &[id, worker] : m_workers) {
        if (!worker.isRenewalPending && worker.isQueried()) {
            due = std::min(due, worker.nextRenewal);
        }
        if (worker.isSilent() && worker.hasRuns()) {
            due = std::min<Base::Instant>(
                due, worker.leaseExpiresBy > now ? worker.leaseExpiresBy : now + PlacementRetryPeriod);
        }
        const bool isEmptying = worker.drainDeadline || worker.evacuatedUntil > now;
        if ((isEmptying && !worker.runs.empty()) || !m_stopping.empty() || worker.hasStrayRunToStop()) {
            due = std::min(due, m_nextEviction);
        }
    }
    return std::max<Base::Instant>(due, now + Milliseconds(1));
}

void Shard::place(Base::Instant now, WallTime wall)
{
    m_candidates.clear();
    m_unplaceableSizes.clear();
    m_emptiedWorkers = 0;
    m_quotaUsage.startRound();
    m_nextPlacementRetry = Base::Instant::max();
    m_begunTasks = 0;
    std::vector<UnfinishedOccurrence> ready;
    for (Job *job : m_active) {
        addDueOccurrences(*job, wall);
        for (auto &[number, occurrence] : job->occurrences) {
            ready.push_back({job, number, &occurrence});
            m_begunTasks += occurrence.isTouched() ? occurrence.size() : 0;
        }
    }
    updateExpectations(now);
    sortByUrgency(ready, wall);
    const std::size_t withinShares = deferBeyondShares(ready, now, wall);
    for (std::size_t n = 0; n < ready.size(); ++n) {
        const UnfinishedOccurrence &it = ready[n];
        m_roomReason = n < withinShares ? WaitReason::NoRoom : WaitReason::Share;
        for (std::uint32_t stage = 0; stage < it.occurrence->stages.size(); ++stage) {
            if (it.occurrence->stages[stage].isDone() || !it.job->isReady(*it.occurrence, stage)) {
                continue;
            }
            const bool isTouched = it.occurrence->isTouched();
            if (!isTouched && !mayBegin(*it.occurrence)) {
                it.occurrence->stages[stage].setWait(WaitReason::OpenTasks, now);
                continue;
            }
            if (m_quotaUsage.isBlocked(it.job->spec.workspace)) {
                StageProgress &progress = it.occurrence->stages[stage];
                if (progress.hasWaitingTask()) {
                    progress.setWait(quotaWaitReason(), now);
                }
                continue;
            }
            if (it.job->spec.stages[stage].isGang) {
                placeGang(*it.job, it.number, *it.occurrence, stage, now);
            } else {
                placeStage(*it.job, it.number, *it.occurrence, stage, now);
                it.occurrence->stages[stage].removeUntouched();
            }
            m_begunTasks += !isTouched && it.occurrence->isTouched() ? it.occurrence->size() : 0;
        }
    }
}

std::size_t
Shard::deferBeyondShares(std::vector<UnfinishedOccurrence> &ready, Base::Instant now, WallTime wall)
{
    FairShares::Capacities capacities;
    std::vector<FairShares::OtherUse> strays;
    for (const auto &[id, worker] : m_workers) {
        if (worker.isUsable(now) || worker.hasRuns()) {
            capacities[worker.info.service] += worker.info.capacity;
        }
        for (const auto &[run, stray] : worker.strayRuns) {
            strays.push_back({worker.info.service, stray.workspace, stray.reserved});
        }
    }
    return m_fairShares.defer(ready, capacities, m_quotaUsage, wall, strays);
}

WaitReason Shard::quotaWaitReason() const
{
    return m_quotaUsage.hasLimits() ? WaitReason::Quota : WaitReason::UnknownQuota;
}

const std::vector<Candidate> &Shard::candidatesOf(const std::string &service)
{
    const auto [it, isNew] = m_candidates.try_emplace(service);
    if (isNew) {
        for (auto &[id, worker] : m_workers) {
            if (worker.info.service == service) {
                it->second.push_back({&worker, 0});
            }
        }
    }
    return it->second;
}

// The workers of the stage's service. The number of the stage's tasks on each is set only if the stage limits
// it.
std::vector<Candidate> Shard::candidatesFor(const Job &job, std::uint32_t number, std::uint32_t stage)
{
    std::vector<Candidate> candidates = candidatesOf(job.spec.queue.service);
    if (job.spec.stages[stage].tasksPerWorker == 0) {
        return candidates;
    }
    std::map<std::string_view, std::uint32_t> tasksOn;
    for (const Task &it : job.occurrences.at(number).stages[stage].tasks) {
        if (it.run != RunState::None) {
            ++tasksOn[it.worker];
        }
    }
    for (Candidate &it : candidates) {
        const auto found = tasksOn.find(it.worker->info.id);
        it.tasksOfStage = found != tasksOn.end() ? found->second : 0;
        for (const auto &[run, stray] : it.worker->strayRuns) {
            it.tasksOfStage += isOfStage(run.task, job.spec.id, number, stage) ? 1 : 0;
        }
    }
    return candidates;
}

std::vector<Candidate> Shard::allowedByAdvice(const Job &job,
                                              std::uint32_t number,
                                              std::uint32_t stage,
                                              std::vector<Candidate> candidates,
                                              Base::Instant now)
{
    if (!job.spec.queue.advice) {
        return candidates;
    }
    const AdviceCache::StageKey key{job.spec.id, number, stage};
    std::vector<Candidate> allowed;
    std::vector<std::string> unknown;
    for (const Candidate &it : candidates) {
        if (m_advice.ticket(key, it.worker->info.id, now)) {
            allowed.push_back(it);
        } else if (it.worker->isUsable(now)) {
            unknown.push_back(it.worker->info.id);
        }
    }
    const Stage &wanted = job.spec.stages[stage];
    const bool isEnough = wanted.isGang ? !chooseGangWorkers(wanted, allowed, now).empty()
                                        : chooseWorker(wanted, allowed, now) != nullptr;
    if (!isEnough) {
        const std::size_t most = wanted.isGang ? wanted.count : 0;
        if (auto ask = m_advice.question(key, *job.spec.queue.advice, unknown, most, now)) {
            m_commands.emplace_back(std::move(*ask));
        }
    }
    return allowed;
}

// Not counted for stages without a limit, which may have thousands of tasks on a worker.
Shard::StageTasks Shard::stageTasksOn(const Worker &worker, const Job &job, const TaskId &id)
{
    if (job.spec.stages[id.stage].tasksPerWorker == 0) {
        return {};
    }
    const auto isCounted = [&id](const TaskId &it) {
        return isOfStage(it, id.job, id.occurrence, id.stage);
    };
    const auto current = std::count_if(worker.runs.begin(), worker.runs.end(), isCounted);
    const auto stray = std::count_if(worker.strayRuns.begin(),
                                     worker.strayRuns.end(),
                                     [&isCounted](const auto &it) { return isCounted(it.first.task); });
    const auto listed = std::count_if(worker.listedRuns.begin(), worker.listedRuns.end(), isCounted);
    return {static_cast<std::uint32_t>(current + stray), static_cast<std::uint32_t>(listed)};
}

void Shard::placeStage(
    Job &job, std::uint32_t number, Occurrence &occurrence, std::uint32_t stage, Base::Instant now)
{
    StageProgress &progress = occurrence.stages[stage];
    const Stage &wanted = job.spec.stages[stage];
    std::vector<Resources> &unplaceableSizes = m_unplaceableSizes[job.spec.queue.service];
    // A task of at most this size has found no worker in this placement round.
    const bool isTooLarge =
        std::any_of(unplaceableSizes.begin(), unplaceableSizes.end(), [&](const Resources &it) {
            return reservedResources(wanted).contains(it);
        });
    std::vector<Candidate> candidates;
    for (std::uint32_t n = 0; n < progress.count; ++n) {
        if (n < progress.tasks.size() && !progress.tasks[n].isWaiting()) {
            continue;
        }
        if (isTooLarge) {
            m_nextPlacementRetry = now + PlacementRetryPeriod;
            progress.setWait(m_roomReason, now);
            return;
        }
        Task &task = n < progress.tasks.size() ? progress.tasks[n] : progress.addTask();
        if (candidates.empty()) {
            candidates = allowedByAdvice(job, number, stage, candidatesFor(job, number, stage), now);
        }
        if (const auto reason = startBlockedBy(wanted, {job.spec.id, number, stage, n}, task)) {
            progress.setWait(*reason, now);
            m_nextPlacementRetry = now + PlacementRetryPeriod;
            continue;
        }
        Worker *worker = nullptr;
        if (task.crashes > 0) {
            worker = placeForSuspect(wanted, task, candidates, now);
            const bool mayWait = now - task.lostAt <= MaxApartTime;
            if (!worker && task.crashes >= IsolatedCrashes && mayWait) {
                progress.setWait(WaitReason::EmptyWorker, now);
                m_nextPlacementRetry = now + PlacementRetryPeriod;
                continue;
            }
        }
        if (!worker) {
            worker = chooseWorker(wanted, candidates, now, task.failedOn);
        }
        if (!worker && !task.failedOn.empty()) {
            worker = chooseWorker(wanted, candidates, now);
        }
        if (!worker) {
            m_nextPlacementRetry = now + PlacementRetryPeriod;
            progress.setWait(job.spec.queue.advice ? WaitReason::Advice : m_roomReason, now);
            const bool isAnyWorkerGood =
                wanted.requiredLabel.empty() && wanted.tasksPerWorker == 0 && !job.spec.queue.advice;
            if (isAnyWorkerGood) {
                unplaceableSizes.push_back(reservedResources(wanted));
            }
            return;
        }
        // It has to run again sooner than an unconfirmed start can be given up.
        if (wanted.isLongRunning && !isJustHeard(*worker, now)) {
            m_nextPlacementRetry = now + PlacementRetryPeriod;
            return;
        }
        if (!m_quotaUsage.allows(job.spec.workspace, wanted.size)) {
            progress.setWait(quotaWaitReason(), now);
            m_quotaUsage.block(job.spec.workspace, wanted.size, progress.waitingTasks());
            return;
        }
        progress.wait.reset();
        assign(job, {job.spec.id, number, stage, n}, task, *worker, task.attempt + 1, now);
        for (Candidate &it : candidates) {
            it.tasksOfStage += it.worker == worker ? 1 : 0;
        }
    }
}

// The first crash makes suspects of all runs of a worker. They are started apart from each other, so that the
// next crash hits one of them only. Under which two workers have crashed is started alone, unless it takes
// too long to empty a worker. Then one is chosen on which no other such run is new, and at last one with as
// few suspects as possible.
Worker *Shard::placeForSuspect(const Stage &stage,
                               const Task &task,
                               std::span<const Candidate> candidates,
                               Base::Instant now)
{
    const auto chooseWithout = [&](const auto &isExcluded) {
        std::vector<Candidate> others(candidates.begin(), candidates.end());
        std::erase_if(others, [&](const Candidate &it) { return isExcluded(*it.worker); });
        return chooseWorkerApart(stage, others, now);
    };
    if (task.crashes < IsolatedCrashes) {
        return chooseWithout([](const Worker &it) { return !it.suspects.empty(); });
    }
    if (Worker *empty = chooseEmptyWorker(stage, candidates, now)) {
        return empty;
    }
    if (now - task.lostAt > MaxApartTime) {
        return chooseWorkerApart(stage, candidates, now);
    }
    if (now - task.lostAt > MaxEmptyingTime) {
        return chooseWithout([now](const Worker &it) { return it.hasNewIsolatedRun(now); });
    }
    if (m_emptiedWorkers * EmptiedDivisor >= candidates.size()) {
        return nullptr;
    }
    Worker *fewestRuns = nullptr;
    for (const Candidate &it : candidates) {
        Worker &worker = *it.worker;
        const bool isCandidate = worker.isUsable(now) && !worker.isAnswerOverdue(now)
            && worker.info.capacity.contains(reservedResources(stage))
            && (!fewestRuns || worker.runs.size() < fewestRuns->runs.size())
            && std::none_of(worker.runs.begin(), worker.runs.end(), [this](const TaskId &run) {
                                     return m_jobs.find(run.job)->second.spec.stages[run.stage].isLongRunning;
                                 });
        if (isCandidate) {
            fewestRuns = &worker;
        }
    }
    if (fewestRuns) {
        fewestRuns->emptiedUntil = now + EmptyingHold;
        ++m_emptiedWorkers;
    }
    return nullptr;
}

// A task that crashes its workers does so soon after its start. Then others get the worker, so that no number
// of such tasks keeps them waiting for long.
void Shard::isolate(Worker &worker, Base::Instant now)
{
    const bool isWithheldNoMore = now - worker.isolatedFrom >= Worker::MaxIsolationTime + IsolationPause;
    if (worker.isolatedUntil <= now || isWithheldNoMore) {
        worker.isolatedFrom = now;
    }
    worker.isolatedUntil = now + NewRunTime;
}

void Shard::giveUpDeadlyJobs(WallTime wall, Base::Instant now)
{
    const auto active = m_active;
    for (Job *job : active) {
        if (const auto task = deadlyTask(*job)) {
            Base::LogLine(Base::LogLevel::Warning, "task-given-up")
                .with("request", job->spec.id)
                .with("task", toString(*task))
                .with("crashes", job->find(*task)->crashes)
                .with("reason", "workers crashed under it");
            endJob(*job, JobState::Failed, wall, now);
        }
    }
}

bool Shard::isDeadly(const Stage &stage, const TaskId &id, const Task &task) const
{
    const std::uint32_t most = stage.isLongRunning ? MaxLongRunningCrashes : MaxCrashes;
    return task.crashes >= most && task.crashes >= most + m_lostRuns.openLosses(id);
}

std::optional<WaitReason> Shard::startBlockedBy(const Stage &stage, const TaskId &id, const Task &task) const
{
    if (task.crashes >= MaxLosses || isDeadly(stage, id, task)) {
        return WaitReason::OpenLoss;
    }
    return m_strayTasks.count(id) > 0 ? std::optional(WaitReason::StrayRun) : std::nullopt;
}

std::optional<TaskId> Shard::deadlyTask(const Job &job) const
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
            const auto &tasks = occurrence.stages[stage].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const TaskId id{job.spec.id, number, stage, index};
                if (tasks[index].isWaiting() && isDeadly(job.spec.stages[stage], id, tasks[index])) {
                    return id;
                }
            }
        }
    }
    return std::nullopt;
}

// Starts all tasks of the gang or none, and only once no run of an earlier attempt is left. Workers on which
// the gang has failed are used only if it doesn't fit on the others.
void Shard::placeGang(
    Job &job, std::uint32_t number, Occurrence &occurrence, std::uint32_t stage, Base::Instant now)
{
    StageProgress &progress = occurrence.stages[stage];
    std::uint32_t attempt = 1;
    std::string checkpoint;
    for (const Task &it : progress.tasks) {
        if (!it.isWaiting()) {
            return;
        }
        attempt = std::max(attempt, it.attempt + 1);
        if (it.checkpoint > checkpoint) {
            checkpoint = it.checkpoint;
        }
    }
    const Stage &wanted = job.spec.stages[stage];
    m_nextPlacementRetry = now + PlacementRetryPeriod;
    for (std::uint32_t n = 0; n < progress.tasks.size(); ++n) {
        if (const auto reason = startBlockedBy(wanted, {job.spec.id, number, stage, n}, progress.tasks[n])) {
            progress.setWait(*reason, now);
            return;
        }
    }
    const auto all = allowedByAdvice(job, number, stage, candidatesFor(job, number, stage), now);
    std::vector<Candidate> untried = all;
    std::erase_if(untried, [&progress](const Candidate &it) {
        return std::any_of(progress.tasks.begin(), progress.tasks.end(), [&it](const Task &task) {
            return task.failedOn == it.worker->info.id;
        });
    });
    std::vector<Worker *> places = chooseGangWorkers(wanted, untried, now);
    if (places.empty() && untried.size() < all.size()) {
        places = chooseGangWorkers(wanted, all, now);
    }
    if (places.empty()) {
        progress.setWait(job.spec.queue.advice ? WaitReason::Advice : m_roomReason, now);
        return;
    }
    if (!m_quotaUsage.allows(job.spec.workspace, wanted.size, wanted.count)) {
        progress.setWait(quotaWaitReason(), now);
        m_quotaUsage.block(job.spec.workspace, wanted.size, wanted.count, wanted.count);
        return;
    }
    progress.wait.reset();
    std::vector<Task> &tasks = progress.allTasks();
    for (std::uint32_t n = 0; n < tasks.size(); ++n) {
        tasks[n].checkpoint = checkpoint;
        assign(job, {job.spec.id, number, stage, n}, tasks[n], *places[n], attempt, now);
    }
}

void Shard::assign(
    Job &job, const TaskId &id, Task &task, Worker &worker, std::uint32_t attempt, Base::Instant now)
{
    task.run = RunState::Planned;
    task.attempt = attempt;
    task.worker = worker.info.id;
    task.workerStart = worker.startTime;
    task.startRepeats = 0;
    if (task.crashes >= IsolatedCrashes) {
        isolate(worker, now);
    }
    worker.runs.insert(id);
    markSuspect(worker, id, task);
    worker.used += reservedResources(job.spec.stages[id.stage]);
    m_quotaUsage.add(job.spec.workspace, job.spec.stages[id.stage].size);
    markChanged(job);
    m_plannedStarts.push_back(id);
}

// While the assignment was being stored, the worker may have started to drain, shrunk, disappeared or listed
// a stray run, and the limit of the workspace may have been lowered.
void Shard::sendStart(const TaskId &id, Base::Instant now)
{
    const auto it = m_jobs.find(id.job);
    Task *task = it != m_jobs.end() ? it->second.find(id) : nullptr;
    if (!task || task->run != RunState::Planned) {
        return;
    }
    if (!orderStart(it->second, id, *task, now)) {
        endRun(it->second, id, *task);
    }
}

bool Shard::orderStart(Job &job, const TaskId &id, Task &task, Base::Instant now)
{
    Worker &worker = workerFor(task.worker);
    const bool isWithinQuota = m_quotaUsage.isWithinLimit(job.spec.workspace);
    const bool isWithinCapacity = !worker.hasUnsizedRun() && worker.info.capacity.contains(worker.used);
    const std::uint32_t limit = job.spec.stages[id.stage].tasksPerWorker;
    const StageTasks there = stageTasksOn(worker, job, id);
    if (!worker.isListed || worker.isSilent() || worker.info.isDraining || m_isMembershipLapsed
        || !isWithinQuota || !isWithinCapacity || there.counted > limit || m_strayTasks.count(id) > 0) {
        return false;
    }
    std::optional<std::string> ticket;
    if (job.spec.queue.advice) {
        ticket = m_advice.ticket({id.job, id.occurrence, id.stage}, task.worker, now);
        if (!ticket) {
            return false;
        }
    }
    task.run = RunState::Starting;
    task.orderedAt = now;
    StartRun order;
    order.worker = task.worker;
    order.token = worker.token;
    order.task = id;
    order.attempt = task.attempt;
    order.payload = job.spec.payload;
    order.checkpoint = task.checkpoint;
    order.ticket = ticket.value_or(std::string());
    order.leaseEnd = leaseEnd(worker, now);
    order.sentAt = now;
    Base::LogLine(Base::LogLevel::Info, "run-ordered")
        .with("request", id.job)
        .with("task", toString(id))
        .with("attempt", order.attempt)
        .with("worker", order.worker)
        .with("token", order.token)
        .with("born", worker.startTime)
        .with("worker_seen_ms", std::chrono::duration_cast<Milliseconds>(now - worker.lastAnswer).count())
        .with("lease_end_clock", order.leaseEnd)
        .with("clock_age_ms", worker.clockAge.count())
        .with("repeats", task.startRepeats)
        .with("per_worker", limit)
        .with("stage_tasks", there.counted)
        .with("stage_tasks_listed", there.listed)
        .with("owned_ms", milliseconds(now - m_begunAt));
    m_commands.emplace_back(std::move(order));
    return true;
}

} // namespace Jobs
