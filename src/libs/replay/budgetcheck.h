#pragma once

#include "availability.h"
#include "violation.h"

#include <fleet/observations.h>

#include <set>

namespace Replay
{

/// Budgets of all services, as far as one zone's record shows them. A planned stop must leave each service of
/// the pool its availability with the largest remaining failure domain lost; and at every offset the slots
/// available must meet it. The second is said once for each time that it begins.
class BudgetCheck
{
public:
    /// `start` is the state before the first step.
    BudgetCheck(const Fleet::FleetState &start, Violations &violations);

    void check(const Step &step);

private:
    void noteReports(const Fleet::Observations &observations);
    void checkPlannedStop(const Step &step, const Base::InstanceName &instance);
    void checkInForce(const Step &step);

    Violations &m_violations;
    DeclaredFleet m_declared;
    std::set<Base::InstanceName> m_unhealthy; ///< by the planner's last observations
    std::set<Base::ServiceName> m_broken;
};

} // namespace Replay
