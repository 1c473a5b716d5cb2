#include "placement.h"
#include "queueorder.h"
#include "shard.h"

#include <base/logline.h>

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Jobs
{

namespace
{

// Resolution of the estimated time until a worker is empty. Of workers that are equal in it, the one with
// less in use is released first.
constexpr Milliseconds EmptyTimeStep{250};

// If a task finds no worker in a pool with at most this share in use, free space is fragmented: the pool
// needs an empty worker rather than more capacity.
constexpr double MaxUtilizationForWholeWorkers = 0.6;

// Limits ServiceDemand::emptyWorkers.
constexpr std::uint32_t MaxWholeWorkers = 4;

// Limits the demand of a service whose workers have shrunk, as a multiple of what it would be otherwise.
constexpr double MaxDemandGrowth = 4;

// Of a job in ServiceDemand.
constexpr std::uint32_t MaxCountedOccurrences = 100'000;

// A long-running task that has found no worker for this time asks for an empty one. Moving a machine to the
// pool because of the demand for cores takes less.
constexpr Milliseconds StuckTaskDelay{3000};

// How long the most recently ordered unfinished task of the stage has been under way; zero if a task is still
// waiting.
Milliseconds elapsedTime(const StageProgress &progress, Base::Instant now)
{
    if (progress.tasks.size() < progress.count) {
        return {};
    }
    Base::Duration shortest = Base::Duration::max();
    for (const Task &it : progress.tasks) {
        if (it.isWaiting()) {
            return {};
        }
        if (!it.isDone) {
            shortest = std::min<Base::Duration>(shortest, now - it.orderedAt);
        }
    }
    return std::chrono::duration_cast<Milliseconds>(shortest);
}

} // namespace

std::vector<ServiceDemand> Shard::demand(Base::Instant now, WallTime wall) const
{
    std::map<std::string, ServiceDemand> demands;
    for (const auto &[id, worker] : m_workers) {
        if (worker.isListed) {
            demands[worker.info.service].service = worker.info.service;
        }
    }
    std::set<std::string> longRunningHosts;
    for (const Job *job : m_active) {
        ServiceDemand &demand = demands[job->spec.queue.service];
        demand.service = job->spec.queue.service;
        addUnopenedDemand(*job, wall, demand);
        for (const auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t n = 0; n < occurrence.stages.size(); ++n) {
                const Stage &stage = job->spec.stages[n];
                if (occurrence.stages[n].isDone() || !job->isReady(occurrence, n)) {
                    continue;
                }
                const std::int64_t each = reservedResources(stage).milliCores;
                const std::int64_t cores = (stage.count - occurrence.stages[n].done) * each;
                const Milliseconds spent =
                    std::min(elapsedTime(occurrence.stages[n], now), job->expectedTime(occurrence, n));
                (canMeetObjective(*job, number, occurrence, wall, spent) ? demand.milliCores
                                                                         : demand.lateMilliCores) += cores;
                if (!stage.isLongRunning) {
                    continue;
                }
                demand.longRunningMilliCores += cores;
                if (stage.tasksPerWorker > 0) {
                    const std::uint32_t least =
                        (stage.count + stage.tasksPerWorker - 1) / stage.tasksPerWorker;
                    demand.minWorkers = std::max(demand.minWorkers, least);
                }
                for (const Task &it : occurrence.stages[n].tasks) {
                    longRunningHosts.insert(it.worker);
                }
            }
        }
    }
    std::vector<std::tuple<std::int64_t, std::int64_t, const Worker *>> free;
    for (const auto &[id, worker] : m_workers) {
        if (worker.isListed && longRunningHosts.count(id) == 0 && !worker.info.isDraining
            && worker.evacuatedUntil <= now) {
            free.emplace_back(timeToEmpty(worker, now) / EmptyTimeStep, worker.used.milliCores, &worker);
        }
    }
    std::sort(free.begin(), free.end());
    for (const auto &[steps, used, worker] : free) {
        demands[worker->info.service].releasableWorkers.push_back(worker->info.id);
    }
    addWholeWorkerDemand(demands, now);
    scaleDemandToShrunkWorkers(demands);
    std::vector<ServiceDemand> list;
    for (auto &[service, demand] : demands) {
        if (const auto arrived = m_arrivals.find(service); arrived != m_arrivals.end()) {
            demand.arrivedWork = arrived->second.work;
            demand.arrivedJobs = arrived->second.jobs;
        }
        list.push_back(std::move(demand));
    }
    return list;
}

// Of occurrences that are due and not open. The later ones are due, the longer they can still be in time.
void Shard::addUnopenedDemand(const Job &job, WallTime wall, ServiceDemand &demand)
{
    const std::uint32_t unopened = job.unopenedOccurrences(wall);
    if (unopened == 0) {
        return;
    }
    const Milliseconds allowed = job.objective(0) - job.due(0);
    const WallTime latest = wall + job.criticalPath(job.nextOccurrence) - allowed;
    const std::uint32_t late = std::min(unopened, job.unopenedOccurrences(latest - Milliseconds(1)));
    const std::int64_t cores = job.firstStagesSize().milliCores;
    demand.lateMilliCores += std::min(late, MaxCountedOccurrences) * cores;
    demand.milliCores += std::min(unopened - late, MaxCountedOccurrences) * cores;
}

// The planner counts machines of full size, so a service whose workers have shrunk needs more of them.
void Shard::scaleDemandToShrunkWorkers(std::map<std::string, ServiceDemand> &demands) const
{
    struct Cores {
        double now = 0;
        double full = 0;
    };
    std::map<std::string_view, Cores> services;
    for (const auto &[id, worker] : m_workers) {
        if (worker.isListed) {
            Cores &cores = services[worker.info.service];
            cores.now += double(worker.info.capacity.milliCores);
            cores.full += double(worker.fullCapacity.milliCores);
        }
    }
    for (auto &[service, demand] : demands) {
        const Cores &cores = services[service];
        if (cores.now >= cores.full) {
            continue;
        }
        const double growth = cores.full / std::max(cores.now, cores.full / MaxDemandGrowth);
        for (const auto amount : {&ServiceDemand::milliCores,
                                  &ServiceDemand::lateMilliCores,
                                  &ServiceDemand::longRunningMilliCores}) {
            demand.*amount = static_cast<std::int64_t>(double(demand.*amount) * growth);
        }
    }
}

// Long-running tasks are spread over workers and may leave none of them empty, so a large task may find no
// worker in a pool that is nearly idle. In a busy pool other tasks make room as they end, and the demand for
// cores brings more workers; a long-running task for which neither has helped lacks memory, or a worker that
// is not yet at the limit of its stage.
void Shard::addWholeWorkerDemand(std::map<std::string, ServiceDemand> &demands, Base::Instant now) const
{
    struct Room {
        std::int64_t used = 0;
        std::int64_t all = 0;
        std::vector<Resources> free;
    };
    std::map<std::string, Room> rooms;
    for (const auto &[id, worker] : m_workers) {
        if (!worker.isUsable(now)) {
            continue;
        }
        Room &room = rooms[worker.info.service];
        room.used += worker.used.milliCores;
        room.all += worker.info.capacity.milliCores;
        room.free.push_back(worker.info.capacity);
        room.free.back() -= worker.used;
    }
    std::set<std::string_view> servicesWithStuckTasks;
    for (const Job *job : m_active) {
        const Room &room = rooms[job->spec.queue.service];
        const bool isBusy = double(room.used) > double(room.all) * MaxUtilizationForWholeWorkers;
        ServiceDemand &demand = demands[job->spec.queue.service];
        for (const auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t n = 0; n < occurrence.stages.size(); ++n) {
                const StageProgress &progress = occurrence.stages[n];
                if (progress.wait && progress.wait->reason == WaitReason::EmptyWorker) {
                    ++demand.emptyWorkers;
                    continue;
                }
                const bool hasNoWorker = progress.wait
                    && (progress.wait->reason == WaitReason::NoRoom
                        || progress.wait->reason == WaitReason::Advice)
                    && now - progress.wait->reasonSince >= StuckTaskDelay;
                if (job->spec.stages[n].isLongRunning && hasNoWorker) {
                    ++demand.emptyWorkers;
                    servicesWithStuckTasks.insert(job->spec.queue.service);
                    continue;
                }
                const bool isWaiting = !isBusy && job->isReady(occurrence, n) && progress.hasWaitingTask();
                const Resources size = reservedResources(job->spec.stages[n]);
                const bool fits = std::any_of(room.free.begin(), room.free.end(), [&](const Resources &it) {
                    return it.contains(size);
                });
                demand.emptyWorkers += isWaiting && !fits ? 1 : 0;
            }
        }
        demand.emptyWorkers = std::min(demand.emptyWorkers, MaxWholeWorkers);
    }
    // The planner takes releasable workers for empty ones that the waiting tasks can have.
    for (const std::string_view service : servicesWithStuckTasks) {
        ServiceDemand &demand = demands[std::string(service)];
        demand.emptyWorkers += static_cast<std::uint32_t>(std::count_if(
            demand.releasableWorkers.begin(), demand.releasableWorkers.end(), [this](const std::string &it) {
                return m_workers.at(it).isSilent();
            }));
    }
}

void Shard::logUnplaceableTasks(Base::Instant now) const
{
    for (const Job *job : m_active) {
        for (const auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t n = 0; n < occurrence.stages.size(); ++n) {
                const Stage &stage = job->spec.stages[n];
                const auto &tasks = occurrence.stages[n].tasks;
                if (!stage.isLongRunning || !job->isReady(occurrence, n)) {
                    continue;
                }
                const auto waiting =
                    std::find_if(tasks.begin(), tasks.end(), [](const Task &it) { return it.isWaiting(); });
                if (!occurrence.stages[n].hasWaitingTask()) {
                    continue;
                }
                std::uint32_t full = 0;
                for (const auto &[id, worker] : m_workers) {
                    const bool isCounted =
                        worker.info.service == job->spec.queue.service && worker.isUsable(now);
                    const auto there = stageTasksOn(worker, *job, {job->spec.id, number, n, 0}).counted;
                    full += isCounted && stage.tasksPerWorker > 0 && there >= stage.tasksPerWorker ? 1 : 0;
                }
                const WorkerCounts counts = countWorkers(m_workers, job->spec.queue.service, stage, now);
                Base::LogLine(Base::LogLevel::Info, "task-waits")
                    .with("request", job->spec.id)
                    .with("stage", n)
                    .with("index", waiting - tasks.begin())
                    .with("usable_workers", counts.usable)
                    .with("with_room", counts.withRoom)
                    .with("at_task_limit", full)
                    .with("per_worker", stage.tasksPerWorker)
                    .with("millicores", stage.size.milliCores)
                    .with("memory_mb", stage.size.memory);
            }
        }
    }
}

std::vector<WaitReport> Shard::waitingJobs(Base::Instant now) const
{
    return waitReports(m_active, MinReportedWait, now);
}

void Shard::logShares() const
{
    constexpr std::size_t MaxLogged = 3;
    std::vector<const FairShares::Share *> deferred;
    for (const FairShares::Share &it : m_fairShares.shares()) {
        if (it.deferred > 0) {
            deferred.push_back(&it);
        }
    }
    std::sort(deferred.begin(), deferred.end(), [](const auto *a, const auto *b) {
        return a->deferred > b->deferred;
    });
    for (std::size_t n = 0; n < std::min(deferred.size(), MaxLogged); ++n) {
        const FairShares::Share &it = *deferred[n];
        Base::LogLine(Base::LogLevel::Info, "share-exceeded")
            .with("workspace", it.workspace)
            .with("service", it.service)
            .with("used", fmt::format("{:.3f}", it.used))
            .with("asked", fmt::format("{:.3f}", it.asked))
            .with("entitled", fmt::format("{:.3f}", it.entitled))
            .with("deferred", it.deferred)
            .with("competing", m_fairShares.shares().size());
    }
}

void Shard::logWaitingJobs(Base::Instant now) const
{
    for (const WaitReport &it : waitingJobs(now)) {
        const Stage &stage = it.longest->spec.stages[it.stage];
        const QuotaUse use = m_quotaUsage.of(it.workspace);
        const auto limit = m_quotaUsage.limitOf(it.workspace);
        const WorkerCounts counts = countWorkers(m_workers, it.service, stage, now);
        Base::LogLine(Base::LogLevel::Info, "jobs-wait")
            .with("request", it.longest->spec.id)
            .with("reason", toString(it.reason))
            .with("workspace", it.workspace)
            .with("service", it.service)
            .with("jobs", it.jobs)
            .with("tasks", it.tasks)
            .with("longest_ms", it.longestWait.count())
            .with("stage", it.stage)
            .with("millicores", stage.size.milliCores)
            .with("memory_mb", stage.size.memory)
            .with("workers", counts.listed)
            .with("usable_workers", counts.usable)
            .with("with_room", counts.withRoom)
            .with("evacuated", counts.evacuated)
            .with("silent", counts.silent)
            .with("isolated", counts.isolated)
            .with("emptied", counts.emptied)
            .with("backed_off", counts.backedOff)
            .with("running_millicores", use.running.milliCores)
            .with("running_memory_mb", use.running.memory)
            .with("limit_millicores", limit ? std::to_string(limit->amount.milliCores) : "none")
            .with("limit_memory_mb", limit ? std::to_string(limit->amount.memory) : "none");
    }
}

} // namespace Jobs
