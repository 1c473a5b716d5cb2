#pragma once

#include "violation.h"

#include <map>

namespace Replay
{

/// Every instance that the document declares in the zone belongs to one declared pool, which only an edit or
/// a committed move changes.
class PoolCheck
{
public:
    /// `start` is the state before the first step.
    PoolCheck(const Fleet::FleetState &start, Violations &violations);

    void check(const Step &step);

private:
    void checkDeclared(const Step &step);
    void checkChanges(const Step &step);
    bool mayChange(const Step &step, const Fleet::InstanceState &instance) const;

    Violations &m_violations;
    std::map<Base::InstanceName, Base::PoolName> m_pools;
    std::map<Fleet::ActionId, Fleet::MoveStarted> m_moves; ///< started and not ended
};

} // namespace Replay
