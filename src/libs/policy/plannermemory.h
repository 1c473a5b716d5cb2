#pragma once

#include <fleet/plannermemory.h>

namespace Policy
{

using Fleet::ActionMemory;
using Fleet::DemandEstimate;
using Fleet::DemandMemory;
using Fleet::HealthMemory;
using Fleet::PlannerMemory;

} // namespace Policy
