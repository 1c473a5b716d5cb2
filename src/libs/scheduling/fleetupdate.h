#pragma once

#include "fleetspecs.h"
#include "outlierdetector.h"
#include "pooltable.h"
#include "targettable.h"

#include <span>

namespace Scheduling
{

/// Updates the tables to a new fleet. Entries that remain keep their state; requests in flight on removed
/// ones are completed.
class FleetUpdate
{
public:
    /// All three must outlive the object.
    FleetUpdate(PoolTable &pools, TargetTable &targets, OutlierDetector &detector);

    void apply(std::span<const ServiceSpec> services, std::span<const TargetSpec> targets);

private:
    void setTargets(std::span<const TargetSpec> targets);
    void setRequiredShares();
    void recyclePools();

    PoolTable &m_poolTable;
    TargetTable &m_targets;
    OutlierDetector &m_detector;
};

} // namespace Scheduling
