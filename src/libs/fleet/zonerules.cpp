#include "zonerules.h"

#include <algorithm>
#include <utility>

namespace Fleet
{

namespace
{

Outcome refused(Refusal refusal)
{
    return {OutcomeKind::Refused, refusal};
}

Outcome applied()
{
    return {};
}

} // namespace

Outcome ZoneRules::operator()(const EditProposed &)
{
    return refused(Refusal::WrongStream);
}

Outcome ZoneRules::operator()(const MemberJoined &event)
{
    if (event.zone != m_state.zone) {
        return refused(Refusal::OtherZone);
    }
    const bool isNew =
        m_state.members.try_emplace(event.member, Member{event.member, event.zone, m_offset, {}}).second;
    if (!isNew) {
        return refused(Refusal::AlreadyMember);
    }
    m_state.membershipChangedAt = m_offset;
    return applied();
}

Outcome ZoneRules::operator()(const MemberLeft &event)
{
    if (m_state.members.erase(event.member) == 0) {
        return refused(Refusal::UnknownMember);
    }
    m_state.membershipChangedAt = m_offset;
    return applied();
}

Outcome ZoneRules::operator()(const PlannerClaimed &event)
{
    if (event.zone != m_state.zone) {
        return refused(Refusal::OtherZone);
    }
    if (event.previousTerm != currentTerm(m_state)) {
        return refused(Refusal::SupersededTerm);
    }
    m_state.planners[event.zone] = {event.zone, event.holder, m_offset};
    return applied();
}

// Observations are recorded for replay only; they don't change the state.
Outcome ZoneRules::operator()(const PlannerObserved &)
{
    return applied();
}

Outcome ZoneRules::operator()(const MoveStarted &event)
{
    InstanceState *instance = findInstanceState(event.instance);
    if (const Refusal refusal = checkCanDrain(instance); refusal != Refusal::None) {
        return refused(refusal);
    }
    if (hasAction(event.id)) {
        return refused(Refusal::ActionExists);
    }
    if (instance->pool != event.from) {
        return refused(Refusal::NotInPool);
    }
    if (event.from == event.to) {
        return refused(Refusal::SamePool);
    }
    if (!hasPool(m_state.document, event.to)) {
        return refused(Refusal::UnknownPool);
    }
    instance->phase = *m_charts.instance.next(instance->phase, InstanceEvent::Drain);
    instance->action = event.id;
    m_state.moves[event.id] = {
        event.id, event.instance, event.from, event.to, m_charts.move.initial(), m_offset, {}};
    return applied();
}

Outcome ZoneRules::operator()(const DrainAcknowledged &event)
{
    if (!m_state.members.contains(event.member)) {
        return refused(Refusal::UnknownMember);
    }
    if (const auto it = m_state.moves.find(event.id); it != m_state.moves.end()) {
        const std::optional<MovePhase> phase = m_charts.move.next(it->second.phase, MoveEvent::Acknowledge);
        if (!phase) {
            return refused(Refusal::IllegalTransition);
        }
        it->second.phase = *phase;
        it->second.acknowledgedBy.insert(event.member);
        return applied();
    }
    if (const auto it = m_state.maintenances.find(event.id); it != m_state.maintenances.end()) {
        it->second.acknowledgedBy.insert(event.member);
        return applied();
    }
    return refused(Refusal::UnknownAction);
}

Outcome ZoneRules::operator()(const MoveCommitted &event)
{
    const auto it = m_state.moves.find(event.id);
    if (it == m_state.moves.end()) {
        return refused(Refusal::UnknownAction);
    }
    const Move &move = it->second;
    if (!isAcknowledgedByAll(m_state, move.acknowledgedBy)) {
        return refused(Refusal::DrainNotAcknowledged);
    }
    InstanceState &instance = m_state.instances.at(move.instance);
    const auto phase = m_charts.instance.next(instance.phase, InstanceEvent::Release);
    if (!phase || !m_charts.move.next(move.phase, MoveEvent::Commit)) {
        return refused(Refusal::IllegalTransition);
    }
    instance.pool = move.to;
    endMove(event.id, *phase);
    return applied();
}

Outcome ZoneRules::operator()(const MoveAborted &event)
{
    const auto it = m_state.moves.find(event.id);
    if (it == m_state.moves.end()) {
        return refused(Refusal::UnknownAction);
    }
    const InstanceState &instance = m_state.instances.at(it->second.instance);
    const auto phase = m_charts.instance.next(instance.phase, InstanceEvent::Release);
    if (!phase || !m_charts.move.next(it->second.phase, MoveEvent::Abort)) {
        return refused(Refusal::IllegalTransition);
    }
    endMove(event.id, *phase);
    return applied();
}

// A stopped wave may be resumed by one with the same number, which keeps the set of completed instances.
Outcome ZoneRules::operator()(const WaveStarted &event)
{
    if (event.zone != m_state.zone) {
        return refused(Refusal::OtherZone);
    }
    if (hasAction(event.id)) {
        return refused(Refusal::ActionExists);
    }
    Wave wave{event.id, event.number, event.zone, m_charts.wave.initial(), {}, {}, {}};
    if (!m_state.waves.empty()) {
        const Wave &previous = m_state.waves.begin()->second;
        if (previous.phase == WavePhase::Running) {
            return refused(Refusal::IllegalTransition);
        }
        if (!m_state.maintenances.empty()) {
            return refused(Refusal::MaintenanceOpen);
        }
        const bool isResumed = previous.phase == WavePhase::Stopped && previous.number == event.number;
        if (event.number <= previous.number && !isResumed) {
            return refused(Refusal::WaveNumberUsed);
        }
        if (isResumed) {
            wave.done = previous.done;
        }
    }
    m_state.waves.clear();
    m_state.waves.emplace(event.id, std::move(wave));
    return applied();
}

Outcome ZoneRules::operator()(const MaintenanceStarted &event)
{
    Wave *wave = findWave(event.wave);
    if (wave == nullptr) {
        return refused(Refusal::UnknownWave);
    }
    const std::optional<WavePhase> wavePhase = m_charts.wave.next(wave->phase, WaveEvent::BeginMaintenance);
    if (!wavePhase) {
        return refused(Refusal::IllegalTransition);
    }
    if (wave->done.contains(event.instance)) {
        return refused(Refusal::InstanceAlreadyRebooted);
    }
    InstanceState *instance = findInstanceState(event.instance);
    if (const Refusal refusal = checkCanDrain(instance); refusal != Refusal::None) {
        return refused(refusal);
    }
    if (hasAction(event.id)) {
        return refused(Refusal::ActionExists);
    }
    wave->phase = *wavePhase;
    instance->phase = *m_charts.instance.next(instance->phase, InstanceEvent::Drain);
    instance->action = event.id;
    m_state.maintenances[event.id] = {
        event.id, event.wave, event.instance, MaintenancePhase::Draining, m_offset, {}};
    return applied();
}

Outcome ZoneRules::operator()(const RebootRequested &event)
{
    const auto it = m_state.maintenances.find(event.id);
    if (it == m_state.maintenances.end()) {
        return refused(Refusal::UnknownAction);
    }
    if (!isAcknowledgedByAll(m_state, it->second.acknowledgedBy)) {
        return refused(Refusal::DrainNotAcknowledged);
    }
    InstanceState &instance = m_state.instances.at(it->second.instance);
    const auto phase = m_charts.instance.next(instance.phase, InstanceEvent::Reboot);
    if (!phase) {
        return refused(Refusal::IllegalTransition);
    }
    instance.phase = *phase;
    it->second.phase = MaintenancePhase::Rebooting;
    return applied();
}

// If a maintenance ends before the reboot was requested, the instance returns to serving and is not counted,
// so the wave may select it again.
Outcome ZoneRules::operator()(const MaintenanceEnded &event)
{
    const auto it = m_state.maintenances.find(event.id);
    if (it == m_state.maintenances.end()) {
        return refused(Refusal::UnknownAction);
    }
    const bool isRebooted = it->second.phase == MaintenancePhase::Rebooting;
    const InstanceEvent rebooted =
        event.isSuccessful ? InstanceEvent::RebootSucceeded : InstanceEvent::RebootFailed;
    const InstancePhase before = m_state.instances.at(it->second.instance).phase;
    const auto phase = m_charts.instance.next(before, isRebooted ? rebooted : InstanceEvent::Release);
    if (!phase) {
        return refused(Refusal::IllegalTransition);
    }
    if (isRebooted) {
        recordRebootResult(it->second, event.isSuccessful);
    }
    endMaintenance(event.id, *phase);
    return applied();
}

Outcome ZoneRules::operator()(const WaveStopped &event)
{
    Wave *wave = findWave(event.id);
    if (wave == nullptr) {
        return refused(Refusal::UnknownWave);
    }
    const std::optional<WavePhase> phase = m_charts.wave.next(wave->phase, WaveEvent::Stop);
    if (!phase) {
        return refused(Refusal::IllegalTransition);
    }
    wave->phase = *phase;
    wave->stopReason = event.reason;
    return applied();
}

Outcome ZoneRules::operator()(const WaveFinished &event)
{
    Wave *wave = findWave(event.id);
    if (wave == nullptr) {
        return refused(Refusal::UnknownWave);
    }
    if (hasOpenMaintenance(event.id)) {
        return refused(Refusal::MaintenanceOpen);
    }
    const std::optional<WavePhase> phase = m_charts.wave.next(wave->phase, WaveEvent::Finish);
    if (!phase) {
        return refused(Refusal::IllegalTransition);
    }
    wave->phase = *phase;
    return applied();
}

// A failure ends the open move or maintenance of the instance.
Outcome ZoneRules::operator()(const InstanceFailed &event)
{
    InstanceState *instance = findInstanceState(event.instance);
    if (instance == nullptr) {
        return refused(Refusal::UnknownInstance);
    }
    const auto phase = m_charts.instance.next(instance->phase, InstanceEvent::Fail);
    if (!phase) {
        return refused(Refusal::IllegalTransition);
    }
    instance->phase = *phase;
    if (!instance->action) {
        return applied();
    }
    const ActionId action = *instance->action;
    if (m_state.moves.contains(action)) {
        endMove(action, *phase);
    } else {
        endMaintenance(action, *phase);
    }
    return applied();
}

Outcome ZoneRules::operator()(const InstanceRecovered &event)
{
    InstanceState *instance = findInstanceState(event.instance);
    if (instance == nullptr) {
        return refused(Refusal::UnknownInstance);
    }
    const auto phase = m_charts.instance.next(instance->phase, InstanceEvent::Recover);
    if (!phase) {
        return refused(Refusal::IllegalTransition);
    }
    instance->phase = *phase;
    return applied();
}

// A snapshot adds nothing to the state of a reader that has applied all records before it.
Outcome ZoneRules::operator()(const SnapshotTaken &)
{
    return applied();
}

bool ZoneRules::hasAction(const ActionId &id) const
{
    return m_state.moves.contains(id) || m_state.maintenances.contains(id) || m_state.waves.contains(id);
}

bool ZoneRules::hasOpenMaintenance(const ActionId &wave) const
{
    return std::any_of(m_state.maintenances.begin(), m_state.maintenances.end(), [&](const auto &it) {
        return it.second.wave == wave;
    });
}

Refusal ZoneRules::checkCanDrain(const InstanceState *instance) const
{
    if (instance == nullptr) {
        return Refusal::UnknownInstance;
    }
    if (instance->action) {
        return Refusal::InstanceInAction;
    }
    if (!m_charts.instance.next(instance->phase, InstanceEvent::Drain)) {
        return Refusal::IllegalTransition;
    }
    return Refusal::None;
}

InstanceState *ZoneRules::findInstanceState(const Base::InstanceName &name)
{
    const auto it = m_state.instances.find(name);
    return it == m_state.instances.end() ? nullptr : &it->second;
}

Wave *ZoneRules::findWave(const ActionId &id)
{
    const auto it = m_state.waves.find(id);
    return it == m_state.waves.end() ? nullptr : &it->second;
}

void ZoneRules::endMove(const ActionId &id, InstancePhase phase)
{
    InstanceState &instance = m_state.instances.at(m_state.moves.at(id).instance);
    instance.phase = phase;
    instance.action.reset();
    m_state.moves.erase(id);
}

void ZoneRules::endMaintenance(const ActionId &id, InstancePhase phase)
{
    const Maintenance maintenance = m_state.maintenances.at(id);
    InstanceState &instance = m_state.instances.at(maintenance.instance);
    instance.phase = phase;
    instance.action.reset();
    m_state.maintenances.erase(id);
    if (Wave *wave = findWave(maintenance.wave); wave != nullptr) {
        wave->phase = m_charts.wave.next(wave->phase, WaveEvent::EndMaintenance).value_or(wave->phase);
    }
}

void ZoneRules::recordRebootResult(const Maintenance &maintenance, bool isSuccessful)
{
    if (Wave *wave = findWave(maintenance.wave); wave != nullptr) {
        (isSuccessful ? wave->done : wave->failed).insert(maintenance.instance);
    }
}

} // namespace Fleet
