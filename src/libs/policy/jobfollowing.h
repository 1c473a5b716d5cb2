#pragma once

#include "jobcontext.h"

namespace Policy
{

/// Takes in what became of tasks, workers, cancellations and submissions since the last pass.
void followJobs(JobContext &context);

} // namespace Policy
