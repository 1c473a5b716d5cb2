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
                                     const Fleet::PlannerObserved &observed,
                                     const Fleet::PlannerLease &lease) const;
};

} // namespace Replay
