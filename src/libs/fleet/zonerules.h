#pragma once

#include "charts.h"
#include "fleetstate.h"
#include "outcome.h"
#include "record.h"

namespace Fleet
{

/// Validates the events of a zone's stream against the state and applies the valid ones.
class ZoneRules
{
public:
    /// `offset` is the offset of the record whose event is applied.
    ZoneRules(const Charts &charts, FleetState &state, Offset offset)
        : m_charts(charts)
        , m_state(state)
        , m_offset(offset)
    {
    }

    Outcome operator()(const EditProposed &event);
    Outcome operator()(const MemberJoined &event);
    Outcome operator()(const MemberLeft &event);
    Outcome operator()(const PlannerClaimed &event);
    Outcome operator()(const PlannerObserved &event);
    Outcome operator()(const MoveStarted &event);
    Outcome operator()(const DrainAcknowledged &event);
    Outcome operator()(const MoveCommitted &event);
    Outcome operator()(const MoveAborted &event);
    Outcome operator()(const WaveStarted &event);
    Outcome operator()(const MaintenanceStarted &event);
    Outcome operator()(const RebootRequested &event);
    Outcome operator()(const MaintenanceEnded &event);
    Outcome operator()(const WaveStopped &event);
    Outcome operator()(const WaveFinished &event);
    Outcome operator()(const InstanceFailed &event);
    Outcome operator()(const InstanceRecovered &event);
    Outcome operator()(const SnapshotTaken &event);

private:
    bool hasAction(const ActionId &id) const;
    bool hasOpenMaintenance(const ActionId &wave) const;
    Refusal checkCanDrain(const InstanceState *instance) const;
    InstanceState *findInstanceState(const Base::InstanceName &name);
    Wave *findWave(const ActionId &id);
    void endMove(const ActionId &id, InstancePhase phase);
    void endMaintenance(const ActionId &id, InstancePhase phase);
    void recordRebootResult(const Maintenance &maintenance, bool isSuccessful);

    const Charts &m_charts;
    FleetState &m_state;
    Offset m_offset;
};

} // namespace Fleet
