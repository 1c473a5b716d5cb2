#pragma once

#include "jobobservations.h"
#include "jobtable.h"
#include "passcontext.h"

#include <vector>

namespace Policy
{

/// The result of one job planning pass.
struct JobPlanResult {
    std::vector<JobEvent> events;
    std::vector<Deferral> deferrals; ///< urgent jobs that could not be started
    JobMemory memory; ///< for the next pass

    bool operator==(const JobPlanResult &) const = default;
};

/// Runs one planning pass over the jobs of a zone: processes task reports, admits and cancels jobs, frees
/// capacity for urgent jobs by throttling and checkpointing batch jobs, and starts jobs that fit. This is a
/// pure function. A job that isn't idempotent is restarted only if its last attempt is proven not to have run
/// or ended with a checkpoint.
JobPlanResult planJobs(const JobTable &table, const JobObservations &observations, const JobMemory &memory);

} // namespace Policy
