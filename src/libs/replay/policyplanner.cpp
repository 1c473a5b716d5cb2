#include "policyplanner.h"

#include <utility>

namespace Replay
{

std::vector<Fleet::Event> PolicyPlanner::decide(const Fleet::FleetState &state,
                                                const Fleet::PlannerObserved &observed,
                                                const Fleet::PlannerLease &lease) const
{
    Policy::PlanResult pass =
        Policy::plan(state, observed.observations, observed.memory, {lease.holder, lease.zone, lease.term});
    std::vector<Fleet::Event> events;
    events.reserve(pass.decisions.size());
    for (Policy::Decision &it : pass.decisions) {
        events.push_back(std::move(it.event));
    }
    return events;
}

} // namespace Replay
