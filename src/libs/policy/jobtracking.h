#pragma once

#include "jobcontext.h"

namespace Policy
{

/// Processes task reports, lost workers, cancellations and submissions since the last pass.
void trackJobs(JobContext &context);

} // namespace Policy
