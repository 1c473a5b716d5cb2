#pragma once

#include "jobplanner.h"
#include "workerspaces.h"

#include <string>
#include <vector>

namespace Policy
{

/// State shared by the steps of one job planning pass: the observations, the memory and the decisions so far.
class JobContext
{
public:
    /// `jobObservations` must outlive the context.
    JobContext(const JobTable &jobs, const JobObservations &jobObservations, const JobMemory &jobMemory);
    JobContext(const JobContext &) = delete;
    JobContext &operator=(const JobContext &) = delete;

    JobTable table; ///< includes the decisions of this pass
    const JobObservations &observations;
    JobMemory memory;
    WorkerSpaces spaces;
    JobSize largest; ///< maximum over all workers, separately for each resource
    std::vector<JobEvent> events;
    std::vector<Deferral> deferrals;

    /// Applies the event to the table and adds it to the result of the pass.
    void decide(JobEvent event);
    /// Ends the job. `job` is invalid afterwards.
    void end(const JobState &job, JobResult result, Base::Verdict verdict, std::string reason);
    /// Ends the attempt; the job waits for another one.
    void release(const JobState &job, bool hasFailed, std::string reason);
    void stop(const JobState &job, StopMode mode, std::string reason);
    void throttle(const JobState &job, std::uint32_t perMille, std::string reason);
    /// All jobs with an open attempt, including those that are stopping.
    std::vector<const JobState *> running() const;
    /// Waiting jobs in order of acceptance; either the urgent ones or the others.
    std::vector<const JobState *> waiting(bool urgent) const;
    /// The team's quota in cores, 0 if it has none.
    double quotaOf(const TeamName &team) const;
    /// The expected size, limited to the largest worker. The limit is needed because a learned size may
    /// exceed it; declared sizes were checked on admission.
    JobSize sizeOf(const JobState &job) const;
};

bool isUrgent(const JobState &job);

/// True if the attempt may be stopped in favour of another job because its work can be saved or repeated.
bool canStop(const JobState &job);

/// The size as used in reasons, such as "2.0 cores, 4.0 GB, 0 accelerators".
std::string toString(const JobSize &size);

} // namespace Policy
