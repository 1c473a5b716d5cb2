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

/// The slots of one pool.
struct PoolView {
    const OwnSlots &own;
    const DeclaredSlots &declared;
};

Margin zoneMargin(const Document::Service &service, const PoolView &pool, Slots lost)
{
    return {pool.own.available - lost, requiredOf(pool.declared.own, service.zoneAvailability)};
}

// Instances of other zones count as declared: only the records of their own zones tell of them.
Margin overallMargin(const Document::Service &service, const PoolView &pool, Slots lost)
{
    const Slots elsewhere = pool.declared.total - pool.declared.own;
    return {pool.own.available + elsewhere - lost, requiredOf(pool.declared.total, service.availability)};
}

std::string describe(const Document::Service &service, const PoolView &pool, const Margin &margin)
{
    return fmt::format(
        "service {} needs {} slots of pool {} and has {}; {} are in planned stops, {} have failed",
        service.name.value,
        margin.required,
        service.pool.value,
        margin.available,
        pool.own.stopped,
        pool.own.failed);
}

} // namespace

BudgetCheck::BudgetCheck(const Fleet::FleetState &start, Violations &violations)
    : m_violations(violations)
    , m_declared(start.document, start.zone)
{
}

void BudgetCheck::check(const Step &step)
{
    if (const auto *edit = step.applied<Fleet::EditProposed>()) {
        m_declared.apply(edit->delta);
    } else if (const auto *observed = step.applied<Fleet::PlannerObserved>()) {
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
    const OwnSlots own = ownSlotsOf(step.state, m_unhealthy)[name];
    const PoolView pool{own, m_declared.of(name)};
    for (const Document::Service &it : step.state.document.services) {
        if (it.pool != name) {
            continue;
        }
        const Slots domain =
            it.survivesZoneLoss ? largestZone(own, pool.declared) : largestRack(own, pool.declared);
        const Margin zone = zoneMargin(it, pool, largestRack(own));
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
    std::map<Base::PoolName, OwnSlots> pools = ownSlotsOf(step.state, m_unhealthy);
    for (const Document::Service &it : step.state.document.services) {
        const PoolView pool{pools[it.pool], m_declared.of(it.pool)};
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
