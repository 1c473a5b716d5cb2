#pragma once

#include "outlierdetector.h"
#include "pooltable.h"
#include "statistics.h"
#include "targettable.h"

namespace Scheduling
{

/// Adds the statistics of one pool and of its services' queues.
void addPoolStatistics(PoolIndex index,
                       const PoolTable &table,
                       const TargetTable &targets,
                       const OutlierDetector &detector,
                       SchedulerStatistics &out);

} // namespace Scheduling
