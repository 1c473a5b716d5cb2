#pragma once

#include "jobcontext.h"

namespace Policy
{

/// Throttles and stops batch where workers are overcommitted or urgent jobs need the room, and starts what
/// fits.
void placeJobs(JobContext &context);

} // namespace Policy
