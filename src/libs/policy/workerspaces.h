#pragma once

#include "jobobservations.h"
#include "jobtable.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace Policy
{

/// What is left for jobs on one live worker during a pass.
struct WorkerSpace {
    const WorkerReport *report = nullptr;
    JobSize used; ///< reserved or, where it is more, seen; with throttles
    JobSize leaving; ///< the part of it that stopping jobs will free
    bool isOutlier = false; ///< fails what it starts
    bool isStoppable = false; ///< takes no batch that can't be stopped: urgent work always finds room there
    bool isHeld = false; ///< room is being made there for a job that was promised it
    std::vector<JobId> jobs;

    JobSize free() const;
    /// What is free when all that is stopping has stopped.
    JobSize freeSoon() const;
    bool isOvercommitted() const;
};

/// The live workers of a pass and what is left on them.
class WorkerSpaces
{
public:
    WorkerSpaces(const JobTable &table,
                 std::span<const WorkerReport> workers,
                 const std::map<JobId, JobSize> &peaks);

    std::map<Base::InstanceName, WorkerSpace> &workers()
    {
        return m_workers;
    }
    /// Null when the worker isn't live.
    WorkerSpace *find(const Base::InstanceName &worker);
    /// Recounts one worker after a decision on one of its jobs.
    void recount(const JobTable &table, const Base::InstanceName &worker);
    /// Takes the size on the worker.
    void take(const Base::InstanceName &worker, const JobId &job, const JobSize &size);

private:
    void markOutliers(const JobTable &table);

    std::map<Base::InstanceName, WorkerSpace> m_workers;
    const std::map<JobId, JobSize> &m_peaks;
};

JobSize operator+(const JobSize &a, const JobSize &b);
/// Never below zero.
JobSize operator-(const JobSize &a, const JobSize &b);

} // namespace Policy
