#pragma once

#include "jobplanner.h"
#include "workerspaces.h"

#include <string>
#include <vector>

namespace Policy
{

/// What the steps of one pass over the jobs share: what they see, and the table with what they have decided.
class JobContext
{
public:
    /// `seen` outlives the context.
    JobContext(const JobTable &jobs, const JobObservations &seen, const JobMemory &remembered);
    JobContext(const JobContext &) = delete;
    JobContext &operator=(const JobContext &) = delete;

    JobTable table; ///< with the decisions of this pass
    const JobObservations &observations;
    JobMemory memory;
    WorkerSpaces spaces;
    JobSize largest; ///< over all workers, each measure on its own
    std::vector<JobEvent> events;
    std::vector<Wait> waits;

    /// Applies the event to the table and keeps it for the pass.
    void decide(JobEvent event);
    /// Ends the job; `job` is gone afterwards.
    void end(const JobState &job, JobResult result, Base::Verdict verdict, std::string reason);
    /// The attempt is over, the job waits for another one.
    void release(const JobState &job, bool hasFailed, std::string reason);
    void stop(const JobState &job, StopMode mode, std::string reason);
    void throttle(const JobState &job, std::uint32_t perMille, std::string reason);
    /// Also those that are stopping.
    std::vector<const JobState *> running() const;
    /// In the order of their acceptance.
    std::vector<const JobState *> waiting(bool urgent) const;
    /// In cores; 0 for a team without one.
    double quotaOf(const TeamName &team) const;
    /// What was learned may be above the largest worker; the declaration was not.
    JobSize sizeOf(const JobState &job) const;
};

bool isUrgent(const JobState &job);

/// The attempt may be ended for another job: its work can be saved or repeated.
bool canStop(const JobState &job);

/// For reasons: "2.0 cores, 4.0 GB, 0 accelerators".
std::string text(const JobSize &size);

} // namespace Policy
