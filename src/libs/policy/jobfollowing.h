#pragma once

#include "jobcontext.h"

namespace Policy
{

/// Processes task reports, lost workers, cancellations and submissions since the last pass.
void followJobs(JobContext &context);

} // namespace Policy
