#include "jobplanner.h"

#include "workerspaces.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Policy
{

namespace
{

using namespace std::chrono_literals;

/// A job that failed on so many healthy workers is at fault itself.
constexpr std::size_t MostFailures = 3;
/// For a checkpoint, before an attempt that may be repeated is killed; urgent work waits for it.
constexpr Base::Duration CheckpointTimeout = 4s;
/// Between two tries of a worker that fails what it starts.
constexpr Base::Duration ProbePeriod = 5min;
/// A job that waited longer gets a worker to itself as soon as one is empty enough.
constexpr Base::Duration MostPatience = 10min;
/// Batch keeps at least this share of its cores while throttled.
constexpr std::uint32_t LeastThrottle = 100;
constexpr std::uint32_t Unthrottled = 1000;
/// Throttles are lifted only into space beyond this share of what a worker has for jobs.
constexpr double LiftShare = 0.9;

std::string text(const JobSize &size)
{
    return fmt::format(
        "{:.1f} cores, {:.1f} GB, {} accelerators", size.cores, size.memory, size.accelerators);
}

bool isUrgent(const JobState &job)
{
    return job.spec.priority == Document::Priority::Urgent;
}

/// What a caller may be told of a job that isn't running. One that isn't idempotent is released only when its
/// attempt never began, or with a checkpoint.
Base::Verdict verdictOf(const JobState &job)
{
    const bool isProvenNotRun = job.attempt == 0 || (!job.spec.isIdempotent && !job.checkpoint);
    return isProvenNotRun ? Base::Verdict::NotRun : Base::Verdict::MayHaveRun;
}

class JobPlanning
{
public:
    JobPlanning(const JobTable &table, const JobObservations &observations, const JobMemory &memory)
        : m_table(table)
        , m_observations(observations)
        , m_memory(memory)
        , m_spaces(m_table, observations.workers, m_memory.peaks)
    {
        for (const WorkerReport &it : observations.workers) {
            m_largest.cores = std::max(m_largest.cores, it.total.cores);
            m_largest.memory = std::max(m_largest.memory, it.total.memory);
            m_largest.accelerators = std::max(m_largest.accelerators, it.total.accelerators);
        }
    }

    JobPass run()
    {
        if (!m_observations.isPlatformReachable) {
            m_waits.push_back({"jobs", "the platform is not reachable"});
            return {{}, std::move(m_waits), std::move(m_memory)};
        }
        followTasks();
        loseTasks();
        cancelJobs();
        admitJobs();
        escalateStops();
        relieveWorkers();
        countTeams();
        startUrgent();
        startBatch();
        rememberJobs();
        return {std::move(m_events), std::move(m_waits), std::move(m_memory)};
    }

private:
    void decide(JobEvent event)
    {
        m_table.apply(event);
        m_events.push_back(std::move(event));
    }

    void end(const JobState &job, JobResult result, Base::Verdict verdict, std::string reason)
    {
        const Base::InstanceName worker = job.worker;
        const JobId id = job.spec.id;
        m_memory.peaks.erase(id);
        decide(JobEnded{id, result, verdict, std::move(reason)});
        m_spaces.recount(m_table, worker);
    }

    void release(const JobState &job, bool hasFailed, std::string reason)
    {
        const Base::InstanceName worker = job.worker;
        const JobId id = job.spec.id;
        m_memory.peaks.erase(id);
        decide(JobReleased{id, job.attempt, hasFailed, std::move(reason)});
        m_spaces.recount(m_table, worker);
    }

    void stop(const JobState &job, StopMode mode, std::string reason)
    {
        const Base::InstanceName worker = job.worker;
        m_memory.stopSince.try_emplace(job.spec.id, m_observations.at);
        decide(JobStopRequested{job.spec.id, job.attempt, mode, std::move(reason)});
        m_spaces.recount(m_table, worker);
    }

    void throttle(const JobState &job, std::uint32_t perMille, std::string reason)
    {
        const Base::InstanceName worker = job.worker;
        decide(JobThrottled{job.spec.id, job.attempt, perMille, std::move(reason)});
        m_spaces.recount(m_table, worker);
    }

    void followTasks()
    {
        for (const TaskReport &it : m_observations.tasks) {
            const auto found = m_table.open.find(it.job);
            const bool isCurrent = found != m_table.open.end() && found->second.attempt == it.attempt
                && found->second.phase != JobPhase::Waiting;
            if (isCurrent) {
                followTask(found->second, it);
            }
        }
    }

    void followTask(const JobState &job, const TaskReport &report)
    {
        JobSize &peak = m_memory.peaks[job.spec.id];
        peak.cores = std::max(peak.cores, report.used.cores);
        peak.memory = std::max(peak.memory, report.used.memory);
        if (report.checkpoint && report.checkpoint != job.checkpoint) {
            decide(JobCheckpointed{report.job, report.attempt, *report.checkpoint});
        }
        switch (report.phase) {
        case TaskPhase::Running:
            return;
        case TaskPhase::Completed:
            learnSize(m_memory.sizes, job.spec, peak);
            end(job, JobResult::Completed, Base::Verdict::Ran, "the worker completed it");
            return;
        case TaskPhase::Failed:
            endOrRetry(job, report);
            return;
        case TaskPhase::Refused:
            release(job, true, fmt::format("{} did not begin it: {}", job.worker.value, report.detail));
            return;
        case TaskPhase::Stopped:
            endOrRelease(job);
            return;
        }
    }

    void endOrRetry(const JobState &job, const TaskReport &report)
    {
        if (!job.spec.isIdempotent) {
            end(job,
                JobResult::Failed,
                Base::Verdict::Ran,
                fmt::format("failed on {}: {}; not idempotent", job.worker.value, report.detail));
            return;
        }
        release(job, true, fmt::format("failed on {}: {}", job.worker.value, report.detail));
        std::size_t healthy = 0;
        for (const Base::InstanceName &it : job.failedOn) {
            const WorkerSpace *worker = m_spaces.find(it);
            healthy += worker && !worker->isOutlier ? 1 : 0;
        }
        if (healthy >= MostFailures) {
            end(job,
                JobResult::Failed,
                Base::Verdict::Ran,
                fmt::format("failed on {} healthy workers, the last is {}: {}",
                            healthy,
                            job.worker.value,
                            report.detail));
        }
    }

    void endOrRelease(const JobState &job)
    {
        if (job.stopMode == StopMode::Cancel) {
            end(job, JobResult::Cancelled, Base::Verdict::MayHaveRun, "cancelled while it ran");
            return;
        }
        const bool mayRepeat = job.spec.isIdempotent || (job.spec.canCheckpoint && job.checkpoint);
        if (!mayRepeat) {
            end(job,
                JobResult::Lost,
                Base::Verdict::MayHaveRun,
                "stopped without a checkpoint, not idempotent");
            return;
        }
        release(job, false, "stopped to make room");
    }

    void loseTasks()
    {
        for (const JobState *it : running()) {
            if (m_spaces.find(it->worker)) {
                continue;
            }
            if (it->phase == JobPhase::Stopping && it->stopMode == StopMode::Cancel) {
                end(*it,
                    JobResult::Cancelled,
                    Base::Verdict::MayHaveRun,
                    "cancelled, and its worker is gone");
            } else if (it->spec.isIdempotent) {
                release(*it, false, fmt::format("worker {} is gone", it->worker.value));
            } else {
                end(*it,
                    JobResult::Lost,
                    Base::Verdict::MayHaveRun,
                    fmt::format("worker {} is gone, not idempotent", it->worker.value));
            }
        }
    }

    std::vector<const JobState *> running() const
    {
        std::vector<const JobState *> jobs;
        for (const auto &[id, it] : m_table.open) {
            if (it.phase != JobPhase::Waiting) {
                jobs.push_back(&it);
            }
        }
        return jobs;
    }

    void cancelJobs()
    {
        for (const JobId &it : m_observations.cancellations) {
            const auto found = m_table.open.find(it);
            if (found == m_table.open.end()) {
                continue;
            }
            const JobState &job = found->second;
            if (job.phase == JobPhase::Waiting) {
                end(job, JobResult::Cancelled, verdictOf(job), "cancelled while it waited");
            } else if (job.phase != JobPhase::Stopping || job.stopMode != StopMode::Cancel) {
                stop(job, StopMode::Cancel, "cancelled");
            }
        }
    }

    void admitJobs()
    {
        std::set<JobId> refused;
        for (const JobSpec &it : m_observations.submissions) {
            const bool isKnown =
                m_table.open.contains(it.id) || m_table.ended.contains(it.id) || refused.contains(it.id);
            if (isKnown || m_spaces.workers().empty()) {
                continue;
            }
            if (const std::string reason = reasonToRefuse(it); !reason.empty()) {
                refused.insert(it.id);
                decide(JobRefused{it.id, reason});
            } else {
                decide(JobAccepted{it});
            }
        }
    }

    std::string reasonToRefuse(const JobSpec &spec) const
    {
        const JobSize size = expectedSize(m_memory.sizes, spec);
        const bool fits = std::any_of(m_observations.workers.begin(),
                                      m_observations.workers.end(),
                                      [&size](const WorkerReport &it) { return fitsInto(size, it.total); });
        if (!fits) {
            return fmt::format(
                "no worker could ever hold {}; the largest are {}", text(size), text(m_largest));
        }
        if (spec.priority == Document::Priority::Urgent && size.cores > quotaOf(spec.team)) {
            return fmt::format("urgent, and {:.1f} cores are more than the quota of {}, {:.1f}",
                               size.cores,
                               spec.team.value,
                               quotaOf(spec.team));
        }
        return {};
    }

    double quotaOf(const TeamName &team) const
    {
        const auto &quotas = m_observations.quotas;
        const auto it = std::lower_bound(
            quotas.begin(), quotas.end(), team, [](const TeamQuota &quota, const TeamName &name) {
                return quota.team < name;
            });
        return it == quotas.end() || it->team != team ? 0 : it->cores;
    }

    /// A checkpoint that takes too long is given up where the job may be repeated.
    void escalateStops()
    {
        for (const JobState *it : running()) {
            const auto since = m_memory.stopSince.find(it->spec.id);
            const bool isLate = it->phase == JobPhase::Stopping && it->stopMode == StopMode::Checkpoint
                && since != m_memory.stopSince.end()
                && m_observations.at - since->second >= CheckpointTimeout;
            if (isLate && it->spec.isIdempotent) {
                stop(*it, StopMode::Kill, "no checkpoint in time; the job is idempotent");
            }
        }
    }

    /// Batch gives way where interactive work, or the jobs themselves, take more than was left for them.
    void relieveWorkers()
    {
        for (auto &[name, worker] : m_spaces.workers()) {
            const std::vector<JobId> jobs = worker.jobs;
            for (const JobId &id : jobs) {
                const auto it = m_table.open.find(id);
                if (it == m_table.open.end() || it->second.phase != JobPhase::Running
                    || isUrgent(it->second)) {
                    continue;
                }
                if (worker.isOvercommitted()) {
                    giveWay(it->second, worker);
                } else if (it->second.throttle < Unthrottled) {
                    liftThrottle(it->second, worker);
                }
            }
        }
    }

    void giveWay(const JobState &job, const WorkerSpace &worker)
    {
        const std::string reason = fmt::format("jobs on {} take {}, {} are left for them",
                                               job.worker.value,
                                               text(worker.used),
                                               text(worker.report->forJobs));
        const bool hasMemory = worker.used.memory - worker.leaving.memory <= worker.report->forJobs.memory;
        if (hasMemory && job.throttle > LeastThrottle) {
            throttle(job, LeastThrottle, reason);
        } else if (canStop(job)) {
            stop(job, modeFor(job), reason);
        }
    }

    void liftThrottle(const JobState &job, const WorkerSpace &worker)
    {
        const double more = job.reserved.cores * (Unthrottled - job.throttle) / Unthrottled;
        if (worker.used.cores + more <= worker.report->forJobs.cores * LiftShare) {
            throttle(job, Unthrottled, fmt::format("{:.1f} cores are free", worker.free().cores));
        }
    }

    static bool canStop(const JobState &job)
    {
        return job.spec.canCheckpoint || job.spec.isIdempotent;
    }

    static StopMode modeFor(const JobState &job)
    {
        return job.spec.canCheckpoint ? StopMode::Checkpoint : StopMode::Kill;
    }

    void countTeams()
    {
        for (const auto &[id, job] : m_table.open) {
            if (job.phase == JobPhase::Waiting) {
                continue;
            }
            m_teamCores[job.spec.team] += job.reserved.cores;
            m_urgentCores[job.spec.team] += isUrgent(job) ? job.reserved.cores : 0;
        }
    }

    std::vector<const JobState *> waiting(bool urgent) const
    {
        std::vector<const JobState *> jobs;
        for (const auto &[id, it] : m_table.open) {
            if (it.phase == JobPhase::Waiting && isUrgent(it) == urgent) {
                jobs.push_back(&it);
            }
        }
        std::sort(jobs.begin(), jobs.end(), [](const JobState *a, const JobState *b) {
            return a->sequence < b->sequence;
        });
        return jobs;
    }

    /// What was learned may be above the largest worker; the declaration was not.
    JobSize sizeOf(const JobState &job) const
    {
        JobSize size = expectedSize(m_memory.sizes, job.spec);
        size.cores = std::min(size.cores, m_largest.cores);
        size.memory = std::min(size.memory, m_largest.memory);
        return size;
    }

    void start(const JobState &job, const Base::InstanceName &worker, const JobSize &size)
    {
        m_teamCores[job.spec.team] += size.cores;
        m_urgentCores[job.spec.team] += isUrgent(job) ? size.cores : 0;
        m_spaces.take(worker, job.spec.id, size);
        const JobSize free = m_spaces.find(worker)->free();
        decide(JobStarted{
            job.spec.id,
            job.attempt + 1,
            worker,
            size,
            fmt::format(
                "{} declared, {} expected, {} stay free", text(job.spec.declared), text(size), text(free))});
    }

    bool mayUse(const JobState &job, const WorkerSpace &worker, const JobSize &size)
    {
        if (worker.isHeld || job.failedOn.contains(worker.report->worker) || !fitsInto(size, worker.free())) {
            return false;
        }
        if (worker.isStoppable && !isUrgent(job) && !canStop(job)) {
            return false;
        }
        return !worker.isOutlier || isProbeDue(job, worker);
    }

    /// Only work that may be repeated is risked on a worker that fails what it starts.
    bool isProbeDue(const JobState &job, const WorkerSpace &worker) const
    {
        const auto last = m_memory.lastProbe.find(worker.report->worker);
        return job.spec.isIdempotent && !isUrgent(job) && worker.jobs.empty()
            && (last == m_memory.lastProbe.end() || m_observations.at - last->second >= ProbePeriod);
    }

    /// The fullest worker that still holds it: large spaces stay for large jobs.
    WorkerSpace *tightestFit(const JobState &job, const JobSize &size)
    {
        WorkerSpace *best = nullptr;
        for (auto &[name, it] : m_spaces.workers()) {
            if (mayUse(job, it, size) && (!best || it.free().cores < best->free().cores)) {
                best = &it;
            }
        }
        return best;
    }

    bool startWhereItFits(const JobState &job, const JobSize &size)
    {
        const WorkerSpace *worker = tightestFit(job, size);
        if (!worker) {
            return false;
        }
        const Base::InstanceName name = worker->report->worker;
        if (worker->isOutlier) {
            m_memory.lastProbe[name] = m_observations.at;
        }
        start(job, name, size);
        return true;
    }

    void startUrgent()
    {
        for (const JobState *it : waiting(true)) {
            const JobSize size = sizeOf(*it);
            const double used = m_urgentCores[it->spec.team];
            const double quota = quotaOf(it->spec.team);
            if (used + size.cores > quota) {
                m_waits.push_back(
                    {it->spec.id.value,
                     fmt::format("{} uses {:.1f} of {:.1f} cores for urgent jobs, {:.1f} more wanted",
                                 it->spec.team.value,
                                 used,
                                 quota,
                                 size.cores)});
                continue;
            }
            if (!startWhereItFits(*it, size) && !throttleFor(*it, size) && !holdFor(*it, size)) {
                m_waits.push_back(
                    {it->spec.id.value,
                     fmt::format("no worker can be made to hold {} by throttling or stopping batch",
                                 text(size))});
            }
        }
    }

    std::vector<const JobState *> batchOn(const WorkerSpace &worker) const
    {
        std::vector<const JobState *> jobs;
        for (const JobId &id : worker.jobs) {
            const auto it = m_table.open.find(id);
            if (it != m_table.open.end() && it->second.phase == JobPhase::Running && !isUrgent(it->second)) {
                jobs.push_back(&it->second);
            }
        }
        // The youngest has the least to lose.
        std::sort(jobs.begin(), jobs.end(), [](const JobState *a, const JobState *b) {
            return a->sequence > b->sequence;
        });
        return jobs;
    }

    bool isOpenTo(const JobState &job, const WorkerSpace &worker) const
    {
        return !worker.isOutlier && !worker.isHeld && !job.failedOn.contains(worker.report->worker);
    }

    /// Throttling frees cores at once, and nothing else.
    bool throttleFor(const JobState &job, const JobSize &size)
    {
        for (auto &[name, worker] : m_spaces.workers()) {
            JobSize space = worker.free();
            const std::vector<const JobState *> batch = batchOn(worker);
            for (const JobState *it : batch) {
                space.cores +=
                    it->reserved.cores * (it->throttle - std::min(it->throttle, LeastThrottle)) / Unthrottled;
            }
            if (!isOpenTo(job, worker) || !fitsInto(size, space)) {
                continue;
            }
            for (const JobState *it : batch) {
                if (!fitsInto(size, worker.free())) {
                    throttle(
                        *it, LeastThrottle, fmt::format("urgent job {} needs the cores", job.spec.id.value));
                }
            }
            if (fitsInto(size, worker.free())) {
                start(job, name, size);
                return true;
            }
        }
        return false;
    }

    /// Stops batch on the worker where the fewest jobs have to go, and keeps the room for this job.
    bool holdFor(const JobState &job, const JobSize &size)
    {
        WorkerSpace *best = nullptr;
        std::vector<const JobState *> fewest;
        for (auto &[name, worker] : m_spaces.workers()) {
            if (!isOpenTo(job, worker)) {
                continue;
            }
            const std::optional<std::vector<const JobState *>> victims = victimsOn(worker, size);
            if (victims && (!best || victims->size() < fewest.size())) {
                best = &worker;
                fewest = *victims;
            }
        }
        if (!best) {
            return false;
        }
        best->isHeld = true;
        for (const JobState *it : fewest) {
            stop(*it, modeFor(*it), fmt::format("urgent job {} needs {}", job.spec.id.value, text(size)));
        }
        return true;
    }

    static std::optional<std::vector<const JobState *>> none()
    {
        return {};
    }

    /// The batch jobs to stop so that the size fits; none at all when what is stopping already is enough.
    std::optional<std::vector<const JobState *>> victimsOn(const WorkerSpace &worker,
                                                           const JobSize &size) const
    {
        JobSize space = worker.freeSoon();
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
        return fitsInto(size, space) ? std::optional(victims) : none();
    }

    double shareOf(const TeamName &team)
    {
        const double quota = quotaOf(team);
        return quota > 0 ? m_teamCores[team] / quota : m_teamCores[team] + 1;
    }

    /// Teams take turns, the one with the least of its quota in use first; within a team by age.
    void startBatch()
    {
        holdForTheOldest();
        std::map<TeamName, std::vector<const JobState *>> teams;
        for (const JobState *it : waiting(false)) {
            teams[it->spec.team].push_back(it);
        }
        std::set<std::pair<double, TeamName>> turns;
        for (auto &[team, jobs] : teams) {
            std::reverse(jobs.begin(), jobs.end());
            turns.emplace(shareOf(team), team);
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
                turns.emplace(shareOf(team), team);
            }
        }
    }

    bool tryBatch(const JobState &job)
    {
        const JobSize size = sizeOf(job);
        // Most jobs of a long queue are alike: one that is no smaller than one that didn't fit isn't tried.
        std::vector<JobSize> &misfits = m_misfits[canStop(job)];
        const bool isHopeless = std::any_of(
            misfits.begin(), misfits.end(), [&size](const JobSize &it) { return fitsInto(it, size); });
        if (isHopeless) {
            return false;
        }
        if (startWhereItFits(job, size)) {
            return true;
        }
        if (job.failedOn.empty()) {
            std::erase_if(misfits, [&size](const JobSize &it) { return fitsInto(size, it); });
            misfits.push_back(size);
        }
        return false;
    }

    /// Small jobs would fill every gap for ever: the job that has waited longest gets a worker held for it.
    void holdForTheOldest()
    {
        const std::vector<const JobState *> jobs = waiting(false);
        if (jobs.empty()) {
            return;
        }
        const JobState &oldest = *jobs.front();
        const auto since = m_memory.waitingSince.find(oldest.spec.id);
        const bool isOverdue =
            since != m_memory.waitingSince.end() && m_observations.at - since->second >= MostPatience;
        const JobSize size = sizeOf(oldest);
        if (!isOverdue || startWhereItFits(oldest, size)) {
            return;
        }
        WorkerSpace *best = nullptr;
        for (auto &[name, it] : m_spaces.workers()) {
            const bool canHold = isOpenTo(oldest, it) && fitsInto(size, it.report->forJobs);
            if (canHold && (!best || it.free().cores > best->free().cores)) {
                best = &it;
            }
        }
        if (best) {
            best->isHeld = true;
        }
    }

    void rememberJobs()
    {
        std::erase_if(m_memory.stopSince, [this](const auto &it) {
            const auto job = m_table.open.find(it.first);
            return job == m_table.open.end() || job->second.phase != JobPhase::Stopping;
        });
        std::erase_if(m_memory.waitingSince, [this](const auto &it) {
            const auto job = m_table.open.find(it.first);
            return job == m_table.open.end() || job->second.phase != JobPhase::Waiting;
        });
        for (const auto &[id, job] : m_table.open) {
            if (job.phase == JobPhase::Waiting) {
                m_memory.waitingSince.try_emplace(id, m_observations.at);
            }
        }
    }

    JobTable m_table; ///< with the decisions of this pass
    const JobObservations &m_observations;
    JobMemory m_memory;
    WorkerSpaces m_spaces;
    JobSize m_largest;
    std::map<TeamName, double> m_teamCores;
    std::map<TeamName, double> m_urgentCores;
    std::map<bool, std::vector<JobSize>>
        m_misfits; ///< that no worker had room for, by whether they can be stopped
    std::vector<JobEvent> m_events;
    std::vector<Wait> m_waits;
};

} // namespace

JobPass planJobs(const JobTable &table, const JobObservations &observations, const JobMemory &memory)
{
    return JobPlanning(table, observations, memory).run();
}

} // namespace Policy
