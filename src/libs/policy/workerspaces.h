#pragma once

#include "jobobservations.h"
#include "jobtable.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace Policy
{

/// Capacity for jobs on one live worker during a pass, and its use.
struct WorkerSpace {
    const WorkerReport *report = nullptr;
    JobSize used; ///< larger of reserved and observed, with throttles applied
    JobSize stopping; ///< the part of `used` that stopping jobs will free
    bool isOutlier = false; ///< jobs keep failing on it
    bool requiresStoppable = false; ///< accepts only jobs that can be stopped in favour of urgent ones
    bool isReserved = false; ///< reserved for a job for which capacity is being freed
    std::vector<JobId> jobs;

    JobSize free() const;
    /// Free capacity once all stopping jobs have stopped.
    JobSize freeAfterStops() const;
    bool isOvercommitted() const;
};

/// The live workers of a pass and their free capacity.
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
    /// Null if the worker isn't live.
    WorkerSpace *find(const Base::InstanceName &worker);
    /// Recomputes the usage of one worker after a decision on one of its jobs.
    void recount(const JobTable &table, const Base::InstanceName &worker);
    /// Allocates the size on the worker for the job.
    void allocate(const Base::InstanceName &worker, const JobId &job, const JobSize &size);

private:
    void markOutliers(const JobTable &table);

    std::map<Base::InstanceName, WorkerSpace> m_workers;
    const std::map<JobId, JobSize> &m_peaks;
};

JobSize operator+(const JobSize &a, const JobSize &b);
/// Clamped to zero for each resource.
JobSize operator-(const JobSize &a, const JobSize &b);

} // namespace Policy
