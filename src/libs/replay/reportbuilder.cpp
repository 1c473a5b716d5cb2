#include "reportbuilder_p.h"

#include "availability.h"

#include <algorithm>
#include <utility>

namespace Replay::Internal
{

namespace
{

double secondsOf(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void addTo(PoolReport &total, const PoolReport &pool)
{
    total.idleSlotSeconds += pool.idleSlotSeconds;
    total.slotSeconds += pool.slotSeconds;
    total.movesIn += pool.movesIn;
    total.movesOut += pool.movesOut;
    total.abortedMoves += pool.abortedMoves;
    total.reboots += pool.reboots;
    total.failedReboots += pool.failedReboots;
    total.rollOutTime += pool.rollOutTime;
}

} // namespace

void ReportBuilder::add(const Step &step)
{
    const Fleet::Record *record = step.entry.record();
    if (record == nullptr) {
        return;
    }
    if (std::holds_alternative<Fleet::EditProposed>(record->event)) {
        m_report.acceptedEdits += step.outcome.isApplied() ? 1 : 0;
        m_report.refusedEdits += step.outcome.kind == Fleet::OutcomeKind::Refused ? 1 : 0;
    }
    if (const auto *observed = step.applied<Fleet::PlannerObserved>()) {
        observe(step, *observed);
    }
    noteMoves(step);
    noteMaintenance(step);
}

Report ReportBuilder::finished(const Base::AvailabilityZoneName &zone) const
{
    Report report = m_report;
    report.zone = zone;
    for (const auto &it : m_pools) {
        report.pools.push_back(it.second);
        addTo(report.total, it.second);
    }
    return report;
}

// What was seen last is charged for the time until it was seen anew. Clocks of two planners are not compared.
void ReportBuilder::observe(const Step &step, const Fleet::PlannerObserved &observed)
{
    const Fleet::Observations &seen = observed.observations;
    const Fleet::Offset term = step.entry.record()->term;
    if (m_term == term && seen.at > m_observedAt) {
        charge(seen.at - m_observedAt);
    }
    m_term = term;
    m_observedAt = seen.at;

    m_sample.clear();
    for (const auto &it : ownSlotsOf(step.state, {})) {
        m_sample[it.first].availableSlots = static_cast<double>(it.second.available);
    }
    for (const Fleet::PoolDemand &it : seen.demands) {
        m_sample[it.pool].busySlots = it.busySlots + it.busyBatchSlots;
    }
    Sample sample;
    sample.at = m_report.observedTime;
    sample.movesSoFar = m_committed;
    for (const auto &it : m_sample) {
        sample.availableSlots += it.second.availableSlots;
        sample.busySlots += it.second.busySlots;
    }
    m_report.samples.push_back(sample);
}

void ReportBuilder::charge(Base::Duration duration)
{
    m_report.observedTime += duration;
    const double seconds = secondsOf(duration);
    for (const auto &it : m_sample) {
        PoolReport &charged = pool(it.first);
        charged.slotSeconds += it.second.availableSlots * seconds;
        charged.idleSlotSeconds += std::max(0.0, it.second.availableSlots - it.second.busySlots) * seconds;
    }
}

void ReportBuilder::noteMoves(const Step &step)
{
    if (const auto *started = step.applied<Fleet::MoveStarted>()) {
        m_moves[started->id] = *started;
    } else if (const auto *committed = step.applied<Fleet::MoveCommitted>()) {
        const Fleet::MoveStarted &move = m_moves[committed->id];
        ++pool(move.from).movesOut;
        ++pool(move.to).movesIn;
        ++m_committed;
        m_moves.erase(committed->id);
    }
    endAbortedMoves(step);
}

void ReportBuilder::endAbortedMoves(const Step &step)
{
    for (auto it = m_moves.begin(); it != m_moves.end();) {
        if (step.state.moves.contains(it->first)) {
            ++it;
            continue;
        }
        ++pool(it->second.from).abortedMoves;
        it = m_moves.erase(it);
    }
}

void ReportBuilder::noteMaintenance(const Step &step)
{
    if (const auto *started = step.applied<Fleet::MaintenanceStarted>()) {
        beginMaintenance(step, *started);
    } else if (const auto *requested = step.applied<Fleet::RebootRequested>()) {
        m_maintenances[requested->id].isRebooting = true;
    } else if (const auto *ended = step.applied<Fleet::MaintenanceEnded>()) {
        endMaintenance(*ended);
    }
}

void ReportBuilder::beginMaintenance(const Step &step, const Fleet::MaintenanceStarted &event)
{
    const Base::PoolName &name = step.state.instances.at(event.instance).pool;
    m_maintenances[event.id] = {name, false};
    RollOut &rollOut = m_rollOuts[name];
    if (rollOut.wave != event.wave) {
        m_rolledOut[name] = pool(name).rollOutTime;
        rollOut = {event.wave, m_report.observedTime};
    }
}

void ReportBuilder::endMaintenance(const Fleet::MaintenanceEnded &event)
{
    const auto it = m_maintenances.find(event.id);
    if (it == m_maintenances.end()) {
        return;
    }
    const OpenMaintenance maintenance = it->second;
    m_maintenances.erase(it);
    PoolReport &ended = pool(maintenance.pool);
    ended.rollOutTime =
        m_rolledOut[maintenance.pool] + m_report.observedTime - m_rollOuts[maintenance.pool].startedAt;
    if (maintenance.isRebooting) {
        ++(event.isSuccessful ? ended.reboots : ended.failedReboots);
    }
}

PoolReport &ReportBuilder::pool(const Base::PoolName &name)
{
    PoolReport &found = m_pools[name];
    found.pool = name;
    return found;
}

} // namespace Replay::Internal
