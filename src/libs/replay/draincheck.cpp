#include "draincheck.h"

#include <fmt/format.h>

namespace Replay
{

DrainCheck::DrainCheck(const Fleet::FleetState &start, Violations &violations)
    : m_violations(violations)
{
    for (const auto &it : start.members) {
        m_members.insert(it.first);
    }
    for (const auto &it : start.moves) {
        m_acknowledged[it.first] = it.second.acknowledgedBy;
    }
    for (const auto &it : start.maintenances) {
        m_acknowledged[it.first] = it.second.acknowledgedBy;
    }
}

// Members and acknowledgements are counted from the records, and not taken from the state that is under test.
void DrainCheck::check(const Step &step)
{
    if (const auto *joined = step.applied<Fleet::MemberJoined>()) {
        m_members.insert(joined->member);
    } else if (const auto *left = step.applied<Fleet::MemberLeft>()) {
        m_members.erase(left->member);
    } else if (const auto *acknowledged = step.applied<Fleet::DrainAcknowledged>()) {
        m_acknowledged[acknowledged->id].insert(acknowledged->member);
    } else if (const auto *committed = step.applied<Fleet::MoveCommitted>()) {
        checkAcknowledged(step, committed->id);
    } else if (const auto *requested = step.applied<Fleet::RebootRequested>()) {
        checkAcknowledged(step, requested->id);
    }
}

void DrainCheck::checkAcknowledged(const Step &step, const Fleet::ActionId &id)
{
    const std::set<Base::MemberName> &acknowledged = m_acknowledged[id];
    for (const Base::MemberName &it : m_members) {
        if (!acknowledged.contains(it)) {
            m_violations.add(
                step,
                Invariant::DrainAcknowledged,
                fmt::format("member {} has not acknowledged the drain of action {}", it.value, id.value));
        }
    }
    m_acknowledged.erase(id);
}

} // namespace Replay
