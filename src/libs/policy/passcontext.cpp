#include "passcontext.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Policy
{

PassContext::PassContext(const Fleet::FleetState &fleetState,
                         const Fleet::Observations &fleetObservations,
                         PlannerIdentity plannerIdentity,
                         PlannerMemory plannerMemory)
    : state(fleetState)
    , observations(fleetObservations)
    , identity(std::move(plannerIdentity))
    , memory(std::move(plannerMemory))
    , view(state, identity.zone, memory.reports)
    , budget(state, identity.zone, memory.reports)
{
}

Fleet::ActionId PassContext::nextActionId()
{
    // The offset makes the ids of later passes different. A second pass over the same state repeats the ids
    // of the first, so that only one of the two decisions takes effect.
    return {fmt::format(
        "{}-{}-{}-{}", identity.zone.value, identity.term.value, state.appliedTo.value, m_actionCount++)};
}

void PassContext::decide(Fleet::Event event, std::string reason)
{
    decisions.push_back({std::move(event), std::move(reason)});
}

void PassContext::defer(std::string subject, std::string reason)
{
    deferrals.push_back({std::move(subject), std::move(reason)});
}

bool PassContext::hasDecidedOn(const Fleet::ActionId &id) const
{
    return m_decided.contains(id);
}

void PassContext::markDecided(const Fleet::ActionId &id)
{
    m_decided.insert(id);
}

bool PassContext::isReserved(const InstanceView &instance) const
{
    return instance.state->action.has_value() || m_reserved.contains(instance.name());
}

void PassContext::reserve(const Base::InstanceName &instance)
{
    budget.markStopped(instance);
    m_reserved.insert(instance);
}

Document::Milliseconds longestDeadline(const Document::Document &document)
{
    Document::Milliseconds longest{};
    for (const Document::Service &it : document.services) {
        longest = std::max(longest, it.deadline);
    }
    return longest;
}

} // namespace Policy
