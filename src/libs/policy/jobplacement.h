#pragma once

#include "jobcontext.h"

namespace Policy
{

/// Throttles and stops batch jobs on overcommitted workers and where urgent jobs need the capacity, and
/// starts jobs that fit.
void placeJobs(JobContext &context);

} // namespace Policy
