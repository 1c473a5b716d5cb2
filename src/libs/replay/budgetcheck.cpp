#include "budgetcheck.h"

#include <fmt/format.h>

namespace Replay
{

namespace
{

/// Which slots a service asks for and which there are.
struct Margin {
    Slots available = 0;
    Slots required = 0;

    bool isKept() const
    {
        return available >= required;
    }
};

Margin zoneMargin(const Document::Service &service, const PoolSlots &pool, Slots lost)
{
    return {pool.availableInZone - lost, requiredOf(pool.declaredInZone, service.zoneAvailability)};
}

Margin overallMargin(const Document::Service &service, const PoolSlots &pool, Slots lost)
{
    return {pool.available - lost, requiredOf(pool.declared, service.availability)};
}

std::string describe(const Document::Service &service, const PoolSlots &pool, const Margin &margin)
{
    return fmt::format(
        "service {} needs {} slots of pool {} and has {}; {} are in planned stops, {} have failed",
        service.name.value,
        margin.required,
        service.pool.value,
        margin.available,
        pool.stoppedInZone,
        pool.failedInZone);
}

} // namespace

void BudgetCheck::check(const Step &step)
{
    if (const auto *observed = step.applied<Fleet::PlannerObserved>()) {
        noteReports(observed->observations);
    } else if (step.applied<Fleet::PlannerClaimed>() != nullptr) {
        // Another planner knows only what is reported to itself.
        m_unhealthy.clear();
    } else if (const auto *move = step.applied<Fleet::MoveStarted>()) {
        checkPlannedStop(step, move->instance);
    } else if (const auto *maintenance = step.applied<Fleet::MaintenanceStarted>()) {
        checkPlannedStop(step, maintenance->instance);
    } else if (step.applied<Fleet::DrainAcknowledged>() != nullptr || !step.outcome.isApplied()) {
        return;
    }
    checkInForce(step);
}

void BudgetCheck::noteReports(const Fleet::Observations &observations)
{
    for (const Fleet::InstanceReport &it : observations.instances) {
        if (it.state == Fleet::PlatformState::Live && !it.isEjected) {
            m_unhealthy.erase(it.instance);
        } else {
            m_unhealthy.insert(it.instance);
        }
    }
}

void BudgetCheck::checkPlannedStop(const Step &step, const Base::InstanceName &instance)
{
    const Base::PoolName &name = step.state.instances.at(instance).pool;
    const PoolSlots pool = slotsOf(step.state, m_unhealthy)[name];
    for (const Document::Service &it : step.state.document.services) {
        if (it.pool != name) {
            continue;
        }
        const Slots domain = it.survivesZoneLoss ? pool.largestZone() : pool.largestRack();
        const Margin zone = zoneMargin(it, pool, pool.largestRackInZone());
        const Margin overall = overallMargin(it, pool, domain);
        if (it.zoneAvailability != 0 && !zone.isKept()) {
            m_violations.add(step,
                             Invariant::BudgetOfPlannedStop,
                             describe(it, pool, zone) + "; with the zone's largest rack lost");
        }
        if (it.availability != 0 && !overall.isKept()) {
            m_violations.add(step,
                             Invariant::BudgetOfPlannedStop,
                             describe(it, pool, overall) + "; with the largest failure domain lost");
        }
    }
}

void BudgetCheck::checkInForce(const Step &step)
{
    std::map<Base::PoolName, PoolSlots> pools = slotsOf(step.state, m_unhealthy);
    for (const Document::Service &it : step.state.document.services) {
        const PoolSlots &pool = pools[it.pool];
        const Margin zone = zoneMargin(it, pool, 0);
        const Margin overall = overallMargin(it, pool, 0);
        if (zone.isKept() && overall.isKept()) {
            m_broken.erase(it.name);
            continue;
        }
        if (m_broken.insert(it.name).second) {
            m_violations.add(
                step, Invariant::BudgetInForce, describe(it, pool, zone.isKept() ? overall : zone));
        }
    }
}

} // namespace Replay
