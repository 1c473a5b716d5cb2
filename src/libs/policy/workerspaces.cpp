#include "workerspaces.h"

#include <algorithm>

namespace Policy
{

namespace
{

/// A worker is an outlier if at least this many jobs failed on it since it last completed one.
constexpr std::size_t OutlierFailures = 3;
/// At most one worker in this many (but at least one) is an outlier: if all workers fail, the fault is
/// elsewhere.
constexpr std::size_t WorkersPerOutlier = 5;
/// Every n-th live worker accepts only batch jobs that can be stopped.
constexpr std::size_t StoppableOnlyInterval = 4;
constexpr double WholePerMille = 1000;

/// Current usage of the job: the larger of its reservation and its observed usage, with its throttle applied.
JobSize currentUsage(const JobState &job, const std::map<JobId, JobSize> &peaks)
{
    JobSize size = job.reserved;
    const auto seen = peaks.find(job.spec.id);
    if (seen != peaks.end()) {
        size.cores = std::max(size.cores, seen->second.cores);
        size.memory = std::max(size.memory, seen->second.memory);
    }
    size.cores *= job.throttle / WholePerMille;
    return size;
}

} // namespace

JobSize operator+(const JobSize &a, const JobSize &b)
{
    return {a.cores + b.cores, a.memory + b.memory, a.accelerators + b.accelerators};
}

JobSize operator-(const JobSize &a, const JobSize &b)
{
    return {std::max(0.0, a.cores - b.cores),
            std::max(0.0, a.memory - b.memory),
            a.accelerators - std::min(a.accelerators, b.accelerators)};
}

JobSize WorkerSpace::free() const
{
    return report->forJobs - used;
}

JobSize WorkerSpace::freeAfterStops() const
{
    return report->forJobs - (used - stopping);
}

bool WorkerSpace::isOvercommitted() const
{
    return !fitsInto(used - stopping, report->forJobs);
}

WorkerSpaces::WorkerSpaces(const JobTable &table,
                           std::span<const WorkerReport> workers,
                           const std::map<JobId, JobSize> &peaks)
    : m_peaks(peaks)
{
    for (const WorkerReport &it : workers) {
        if (it.isLive) {
            m_workers[it.worker].report = &it;
        }
    }
    for (const auto &[id, job] : table.open) {
        WorkerSpace *worker = job.phase == JobPhase::Waiting ? nullptr : find(job.worker);
        if (worker) {
            worker->jobs.push_back(id);
        }
    }
    std::size_t n = 0;
    for (auto &[name, worker] : m_workers) {
        worker.requiresStoppable = ++n % StoppableOnlyInterval == 0;
        recount(table, name);
    }
    markOutliers(table);
}

WorkerSpace *WorkerSpaces::find(const Base::InstanceName &worker)
{
    const auto it = m_workers.find(worker);
    return it == m_workers.end() ? nullptr : &it->second;
}

void WorkerSpaces::recount(const JobTable &table, const Base::InstanceName &worker)
{
    WorkerSpace *space = find(worker);
    if (!space) {
        return;
    }
    space->used = {};
    space->stopping = {};
    for (const JobId &id : space->jobs) {
        const auto it = table.open.find(id);
        if (it == table.open.end() || it->second.phase == JobPhase::Waiting) {
            continue;
        }
        const JobSize size = currentUsage(it->second, m_peaks);
        space->used = space->used + size;
        if (it->second.phase == JobPhase::Stopping) {
            space->stopping = space->stopping + size;
        }
    }
}

void WorkerSpaces::allocate(const Base::InstanceName &worker, const JobId &job, const JobSize &size)
{
    WorkerSpace &space = m_workers.at(worker);
    space.jobs.push_back(job);
    space.used = space.used + size;
}

void WorkerSpaces::markOutliers(const JobTable &table)
{
    std::vector<std::pair<std::size_t, Base::InstanceName>> failing;
    for (const auto &[worker, jobs] : table.failures) {
        if (jobs.size() >= OutlierFailures && find(worker)) {
            failing.emplace_back(jobs.size(), worker);
        }
    }
    std::sort(failing.rbegin(), failing.rend());
    const std::size_t maxOutliers = std::max<std::size_t>(1, m_workers.size() / WorkersPerOutlier);
    for (std::size_t n = 0; n < std::min(maxOutliers, failing.size()); ++n) {
        m_workers.at(failing.at(n).second).isOutlier = true;
    }
}

} // namespace Policy
