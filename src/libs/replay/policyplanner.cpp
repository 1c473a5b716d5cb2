#include "policyplanner.h"

#include <utility>

namespace Replay
{

// What a planner remembers is lost with its lease.
std::vector<Fleet::Event> PolicyPlanner::decide(const Fleet::FleetState &state,
                                                const Fleet::Observations &observations,
                                                const Fleet::PlannerLease &lease)
{
    if (lease.term != m_term) {
        m_term = lease.term;
        m_memory = {};
    }
    Policy::Pass pass = Policy::plan(state, observations, m_memory, {lease.holder, lease.zone, lease.term});
    m_memory = std::move(pass.memory);
    std::vector<Fleet::Event> events;
    events.reserve(pass.decisions.size());
    for (Policy::Decision &it : pass.decisions) {
        events.push_back(std::move(it.event));
    }
    return events;
}

} // namespace Replay
