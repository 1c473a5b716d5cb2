#pragma once

#include <fleet/record.h>
#include <policy/planner.h>

#include <vector>

namespace Replay
{

/// Decides again with package policy, from nothing but the record. Meets the concept Planner.
class PolicyPlanner
{
public:
    std::vector<Fleet::Event> decide(const Fleet::FleetState &state,
                                     const Fleet::Observations &observations,
                                     const Fleet::PlannerLease &lease);

private:
    Fleet::Offset m_term;
    Policy::PlannerMemory m_memory;
};

} // namespace Replay
