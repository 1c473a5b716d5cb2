#pragma once

#include "violation.h"

#include <map>
#include <set>

namespace Replay
{

/// No move is committed and no reboot requested before every member of that offset has acknowledged the
/// drain.
class DrainCheck
{
public:
    /// `start` is the state before the first step.
    DrainCheck(const Fleet::FleetState &start, Violations &violations);

    void check(const Step &step);

private:
    void checkAcknowledged(const Step &step, const Fleet::ActionId &id);

    Violations &m_violations;
    std::set<Base::MemberName> m_members;
    std::map<Fleet::ActionId, std::set<Base::MemberName>> m_acknowledged;
};

} // namespace Replay
