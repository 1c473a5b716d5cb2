#pragma once

#include "violation.h"

#include <fleet/charts.h>

#include <map>

namespace Replay
{

/// Every change of an instance's or a wave's phase is one that its chart allows for the record's event.
class ChartCheck
{
public:
    /// `start` is the state before the first step; `charts` outlives the check.
    ChartCheck(const Fleet::Charts &charts, const Fleet::FleetState &start, Violations &violations);

    void check(const Step &step);

private:
    void checkInstances(const Step &step);
    void checkWaves(const Step &step);
    bool isLegal(Fleet::InstancePhase from, Fleet::InstancePhase to, const Step &step) const;
    bool isLegal(Fleet::WavePhase from, Fleet::WavePhase to) const;

    const Fleet::Charts &m_charts;
    Violations &m_violations;
    std::map<Base::InstanceName, Fleet::InstancePhase> m_instances;
    std::map<Fleet::ActionId, Fleet::WavePhase> m_waves;
};

} // namespace Replay
