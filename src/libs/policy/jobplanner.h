#pragma once

#include "jobobservations.h"
#include "jobtable.h"
#include "passcontext.h"

#include <vector>

namespace Policy
{

/// The outcome of one pass over the jobs. Each event carries its reason.
struct JobPass {
    std::vector<JobEvent> events;
    std::vector<Wait> waits; ///< urgent jobs that could not be started
    JobMemory memory; ///< for the next pass

    bool operator==(const JobPass &) const = default;
};

/// One pass over the jobs of a zone: follows tasks, admits and cancels, makes room for urgent jobs by
/// throttling and checkpointing batch, and starts what fits. A pure function. A job that isn't idempotent is
/// started again only when its last attempt is proven not to have run, or ended with a checkpoint.
JobPass planJobs(const JobTable &table, const JobObservations &observations, const JobMemory &memory);

} // namespace Policy
