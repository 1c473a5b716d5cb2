#include "jobplacement.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

namespace Policy
{

namespace
{

using namespace std::chrono_literals;

/// Minimum time between two probe jobs on an outlier worker, whose jobs keep failing.
constexpr Base::Duration ProbePeriod = 5min;
/// After this time the batch job that has waited longest gets a worker reserved for it, to prevent
/// starvation.
constexpr Base::Duration MaxBatchWait = 10min;
/// Parts per thousand of its cores that a throttled batch job keeps.
constexpr std::uint32_t MinThrottle = 100;
constexpr std::uint32_t Unthrottled = 1000;
/// A throttle is lifted only if the worker's jobs then use at most this share of the cores that it has for
/// jobs.
constexpr double MaxUsageAfterLift = 0.9;

class JobPlacement
{
public:
    explicit JobPlacement(JobContext &context)
        : m_context(context)
    {
    }

    void run()
    {
        resolveOvercommitment();
        countTeamCores();
        startUrgent();
        startBatch();
    }

private:
    /// Throttles or stops batch jobs on workers where jobs use more than interactive work leaves for them,
    /// and lifts throttles elsewhere.
    void resolveOvercommitment()
    {
        for (auto &[name, worker] : m_context.spaces.workers()) {
            const std::vector<JobId> jobs = worker.jobs;
            for (const JobId &id : jobs) {
                const auto it = m_context.table.open.find(id);
                if (it == m_context.table.open.end() || it->second.phase != JobPhase::Running
                    || isUrgent(it->second)) {
                    continue;
                }
                if (worker.isOvercommitted()) {
                    throttleOrStop(it->second, worker);
                } else if (it->second.throttle < Unthrottled) {
                    liftThrottle(it->second, worker);
                }
            }
        }
    }

    void throttleOrStop(const JobState &job, const WorkerSpace &worker)
    {
        const std::string reason = fmt::format("jobs on {} take {}, {} are left for them",
                                               job.worker.value,
                                               toString(worker.used),
                                               toString(worker.report->forJobs));
        const bool hasMemory = worker.used.memory - worker.stopping.memory <= worker.report->forJobs.memory;
        if (hasMemory && job.throttle > MinThrottle) {
            m_context.throttle(job, MinThrottle, reason);
        } else if (canStop(job)) {
            m_context.stop(job, modeFor(job), reason);
        }
    }

    void liftThrottle(const JobState &job, const WorkerSpace &worker)
    {
        const double more = job.reserved.cores * (Unthrottled - job.throttle) / Unthrottled;
        if (worker.used.cores + more <= worker.report->forJobs.cores * MaxUsageAfterLift) {
            m_context.throttle(job, Unthrottled, fmt::format("{:.1f} cores are free", worker.free().cores));
        }
    }

    static StopMode modeFor(const JobState &job)
    {
        return job.spec.canCheckpoint ? StopMode::Checkpoint : StopMode::Kill;
    }

    void countTeamCores()
    {
        for (const auto &[id, job] : m_context.table.open) {
            if (job.phase == JobPhase::Waiting) {
                continue;
            }
            m_teamCores[job.spec.team] += job.reserved.cores;
            m_urgentCores[job.spec.team] += isUrgent(job) ? job.reserved.cores : 0;
        }
    }

    void start(const JobState &job, const Base::InstanceName &worker, const JobSize &size)
    {
        m_teamCores[job.spec.team] += size.cores;
        m_urgentCores[job.spec.team] += isUrgent(job) ? size.cores : 0;
        m_context.spaces.allocate(worker, job.spec.id, size);
        const JobSize free = m_context.spaces.find(worker)->free();
        m_context.decide(JobStarted{job.spec.id,
                                    job.attempt + 1,
                                    worker,
                                    size,
                                    fmt::format("{} declared, {} expected, {} stay free",
                                                toString(job.spec.declared),
                                                toString(size),
                                                toString(free))});
    }

    bool canPlace(const JobState &job, const WorkerSpace &worker, const JobSize &size)
    {
        if (worker.isReserved || job.failedOn.contains(worker.report->worker)
            || !fitsInto(size, worker.free())) {
            return false;
        }
        if (worker.requiresStoppable && !isUrgent(job) && !canStop(job)) {
            return false;
        }
        return !worker.isOutlier || isProbeDue(job, worker);
    }

    /// Probes an outlier worker only with idempotent batch jobs, since these can be repeated.
    bool isProbeDue(const JobState &job, const WorkerSpace &worker) const
    {
        const auto last = m_context.memory.lastProbe.find(worker.report->worker);
        return job.spec.isIdempotent && !isUrgent(job) && worker.jobs.empty()
            && (last == m_context.memory.lastProbe.end()
                || m_context.observations.at - last->second >= ProbePeriod);
    }

    /// Best fit: the usable worker with the fewest free cores, so that large spaces remain for large jobs.
    WorkerSpace *bestFit(const JobState &job, const JobSize &size)
    {
        WorkerSpace *best = nullptr;
        for (auto &[name, it] : m_context.spaces.workers()) {
            if (canPlace(job, it, size) && (!best || it.free().cores < best->free().cores)) {
                best = &it;
            }
        }
        return best;
    }

    bool startOnBestFit(const JobState &job, const JobSize &size)
    {
        const WorkerSpace *worker = bestFit(job, size);
        if (!worker) {
            return false;
        }
        const Base::InstanceName name = worker->report->worker;
        if (worker->isOutlier) {
            m_context.memory.lastProbe[name] = m_context.observations.at;
        }
        start(job, name, size);
        return true;
    }

    void startUrgent()
    {
        for (const JobState *it : m_context.waiting(true)) {
            const JobSize size = m_context.sizeOf(*it);
            const double used = m_urgentCores[it->spec.team];
            const double quota = m_context.quotaOf(it->spec.team);
            if (used + size.cores > quota) {
                m_context.deferrals.push_back(
                    {it->spec.id.value,
                     fmt::format("{} uses {:.1f} of {:.1f} cores for urgent jobs, {:.1f} more wanted",
                                 it->spec.team.value,
                                 used,
                                 quota,
                                 size.cores)});
                continue;
            }
            if (!startOnBestFit(*it, size) && !startByThrottling(*it, size)
                && !reserveByStopping(*it, size)) {
                m_context.deferrals.push_back(
                    {it->spec.id.value,
                     fmt::format("no worker can be made to hold {} by throttling or stopping batch",
                                 toString(size))});
            }
        }
    }

    std::vector<const JobState *> batchOn(const WorkerSpace &worker) const
    {
        std::vector<const JobState *> jobs;
        for (const JobId &id : worker.jobs) {
            const auto it = m_context.table.open.find(id);
            if (it != m_context.table.open.end() && it->second.phase == JobPhase::Running
                && !isUrgent(it->second)) {
                jobs.push_back(&it->second);
            }
        }
        // Youngest first: stopping it loses the least work.
        std::sort(jobs.begin(), jobs.end(), [](const JobState *a, const JobState *b) {
            return a->sequence > b->sequence;
        });
        return jobs;
    }

    bool isUsableFor(const JobState &job, const WorkerSpace &worker) const
    {
        return !worker.isOutlier && !worker.isReserved && !job.failedOn.contains(worker.report->worker);
    }

    /// Starts the job by throttling batch jobs, which frees cores immediately but no other resource.
    bool startByThrottling(const JobState &job, const JobSize &size)
    {
        for (auto &[name, worker] : m_context.spaces.workers()) {
            JobSize space = worker.free();
            const std::vector<const JobState *> batch = batchOn(worker);
            for (const JobState *it : batch) {
                space.cores +=
                    it->reserved.cores * (it->throttle - std::min(it->throttle, MinThrottle)) / Unthrottled;
            }
            if (!isUsableFor(job, worker) || !fitsInto(size, space)) {
                continue;
            }
            for (const JobState *it : batch) {
                if (!fitsInto(size, worker.free())) {
                    m_context.throttle(
                        *it, MinThrottle, fmt::format("urgent job {} needs the cores", job.spec.id.value));
                }
            }
            if (fitsInto(size, worker.free())) {
                start(job, name, size);
                return true;
            }
        }
        return false;
    }

    /// Stops batch jobs on the worker where the fewest must be stopped, and reserves the freed capacity for
    /// this job.
    bool reserveByStopping(const JobState &job, const JobSize &size)
    {
        WorkerSpace *best = nullptr;
        std::vector<const JobState *> bestVictims;
        for (auto &[name, worker] : m_context.spaces.workers()) {
            if (!isUsableFor(job, worker)) {
                continue;
            }
            const std::optional<std::vector<const JobState *>> victims = victimsOn(worker, size);
            if (victims && (!best || victims->size() < bestVictims.size())) {
                best = &worker;
                bestVictims = *victims;
            }
        }
        if (!best) {
            return false;
        }
        best->isReserved = true;
        for (const JobState *it : bestVictims) {
            m_context.stop(
                *it, modeFor(*it), fmt::format("urgent job {} needs {}", job.spec.id.value, toString(size)));
        }
        return true;
    }

    /// The batch jobs to stop so that the size fits, empty if the jobs that are already stopping free enough.
    /// Returns nullopt if stopping all of them isn't enough.
    std::optional<std::vector<const JobState *>> victimsOn(const WorkerSpace &worker,
                                                           const JobSize &size) const
    {
        JobSize space = worker.freeAfterStops();
        std::vector<const JobState *> victims;
        for (const JobState *it : batchOn(worker)) {
            if (fitsInto(size, space)) {
                return victims;
            }
            if (canStop(*it)) {
                JobSize freed = it->reserved;
                freed.cores *= static_cast<double>(it->throttle) / Unthrottled;
                space = space + freed;
                victims.push_back(it);
            }
        }
        if (!fitsInto(size, space)) {
            return std::nullopt;
        }
        return victims;
    }

    double quotaUsage(const TeamName &team)
    {
        const double quota = m_context.quotaOf(team);
        return quota > 0 ? m_teamCores[team] / quota : m_teamCores[team] + 1;
    }

    /// Starts jobs of the team that uses the smallest share of its quota first; within a team, oldest first.
    void startBatch()
    {
        reserveForOldest();
        std::map<TeamName, std::vector<const JobState *>> teams;
        for (const JobState *it : m_context.waiting(false)) {
            teams[it->spec.team].push_back(it);
        }
        std::set<std::pair<double, TeamName>> turns;
        for (auto &[team, jobs] : teams) {
            std::reverse(jobs.begin(), jobs.end());
            turns.emplace(quotaUsage(team), team);
        }
        while (!turns.empty()) {
            const TeamName team = turns.extract(turns.begin()).value().second;
            std::vector<const JobState *> &jobs = teams.at(team);
            bool hasStarted = false;
            while (!hasStarted && !jobs.empty()) {
                hasStarted = tryBatch(*jobs.back());
                jobs.pop_back();
            }
            if (!jobs.empty()) {
                turns.emplace(quotaUsage(team), team);
            }
        }
    }

    bool tryBatch(const JobState &job)
    {
        const JobSize size = m_context.sizeOf(job);
        // Most jobs in a long queue have similar sizes: a job that is at least as large as one that didn't
        // fit is skipped.
        std::vector<JobSize> &unplaceable = m_unplaceable[canStop(job)];
        const bool cannotFit = std::any_of(unplaceable.begin(),
                                           unplaceable.end(),
                                           [&size](const JobSize &it) { return fitsInto(it, size); });
        if (cannotFit) {
            return false;
        }
        if (startOnBestFit(job, size)) {
            return true;
        }
        if (job.failedOn.empty()) {
            std::erase_if(unplaceable, [&size](const JobSize &it) { return fitsInto(size, it); });
            unplaceable.push_back(size);
        }
        return false;
    }

    /// Reserves a worker for the job that has waited longest, as small jobs could otherwise starve it by
    /// filling every gap.
    void reserveForOldest()
    {
        const std::vector<const JobState *> jobs = m_context.waiting(false);
        if (jobs.empty()) {
            return;
        }
        const JobState &oldest = *jobs.front();
        const auto since = m_context.memory.waitingSince.find(oldest.spec.id);
        const bool isOverdue = since != m_context.memory.waitingSince.end()
            && m_context.observations.at - since->second >= MaxBatchWait;
        const JobSize size = m_context.sizeOf(oldest);
        if (!isOverdue || startOnBestFit(oldest, size)) {
            return;
        }
        WorkerSpace *best = nullptr;
        for (auto &[name, it] : m_context.spaces.workers()) {
            const bool canReserve = isUsableFor(oldest, it) && fitsInto(size, it.report->forJobs);
            if (canReserve && (!best || it.free().cores > best->free().cores)) {
                best = &it;
            }
        }
        if (best) {
            best->isReserved = true;
        }
    }

    JobContext &m_context;
    std::map<TeamName, double> m_teamCores;
    std::map<TeamName, double> m_urgentCores;
    std::map<bool, std::vector<JobSize>> m_unplaceable; ///< sizes that didn't fit anywhere, by canStop()
};

} // namespace

void placeJobs(JobContext &context)
{
    JobPlacement(context).run();
}

} // namespace Policy
