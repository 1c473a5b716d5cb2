#include "fold.h"

#include "zonerules.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace Fleet
{

namespace
{

template<typename Event, typename... Others>
constexpr bool IsOneOf = (std::is_same_v<Event, Others> || ...);

/// Events that only the holder of the planner's lease may append.
template<typename Event>
constexpr bool IsPlannerDecision = IsOneOf<Event,
                                           PlannerObserved,
                                           MoveStarted,
                                           MoveCommitted,
                                           MoveAborted,
                                           WaveStarted,
                                           MaintenanceStarted,
                                           RebootRequested,
                                           MaintenanceEnded,
                                           WaveStopped,
                                           WaveFinished>;

bool needsTerm(const Event &event)
{
    return std::visit([](const auto &it) { return IsPlannerDecision<std::decay_t<decltype(it)>>; }, event);
}

} // namespace

Fold::Fold(const Charts &charts, Base::AvailabilityZoneName zone)
    : m_charts(&charts)
{
    m_state.zone = std::move(zone);
}

Fold::Fold(const Charts &charts, FleetState snapshot)
    : m_charts(&charts)
    , m_state(std::move(snapshot))
{
}

Outcome Fold::applyCommon(const Entry &entry)
{
    if (entry.offset <= m_state.commonAppliedTo) {
        return {OutcomeKind::Duplicate};
    }
    CommonStep step;
    step.offset = entry.offset;
    step.previous = std::exchange(m_state.commonAppliedTo, entry.offset);
    const Record *record = entry.record();
    const Outcome outcome =
        record == nullptr ? Outcome{OutcomeKind::Damaged} : applyCommonRecord(*record, step);
    m_pendingSteps.push_back(std::move(step));
    return outcome;
}

Outcome Fold::applyCommonRecord(const Record &record, CommonStep &step)
{
    if (m_state.recentCommon.contains(record.id)) {
        return {OutcomeKind::Duplicate};
    }
    step.isInWindow = true;
    step.evicted = m_state.recentCommon.remember(step.offset, record.id);
    if (const auto *edit = std::get_if<EditProposed>(&record.event)) {
        return applyEdit(*edit, step);
    }
    if (std::holds_alternative<SnapshotTaken>(record.event)) {
        return {};
    }
    return {OutcomeKind::Refused, Refusal::WrongStream};
}

Outcome Fold::applyEdit(const EditProposed &event, CommonStep &step)
{
    const Refusal refusal = validateEdit(event);
    const EditEvent verdict = refusal == Refusal::None ? EditEvent::Accept : EditEvent::Refuse;
    const std::optional<EditPhase> phase = m_charts->edit.next(m_charts->edit.initial(), verdict);
    if (phase != EditPhase::Accepted) {
        return {OutcomeKind::Refused, refusal == Refusal::None ? Refusal::IllegalTransition : refusal};
    }
    EditUndo undo = Fleet::applyEdit(*m_charts, m_state, step.offset, event);
    step.edit = AcceptedEdit{step.offset, event, std::move(undo)};
    return {};
}

// Checks only the invariants that Fold itself relies on. All other rules for documents may change between
// versions, and readers of different versions must agree on which edits are accepted.
Refusal Fold::validateEdit(const EditProposed &event) const
{
    if (event.base != m_state.documentOffset) {
        return Refusal::SupersededBase;
    }
    if (!declaresAllUsedPools(m_state.document, event.delta)) {
        return Refusal::UndeclaredPool;
    }
    return Refusal::None;
}

Outcome Fold::applyZone(const Entry &entry)
{
    return applyZone(std::span<const Entry>(&entry, 1)).back();
}

// A zone's record is validated against the document at the causal offset of the zone's records so far, not
// against edits that this reader happens to have read already. Later edits are undone and then reapplied.
std::vector<Outcome> Fold::applyZone(std::span<const Entry> entries)
{
    std::vector<Outcome> outcomes;
    outcomes.reserve(entries.size());
    if (entries.empty()) {
        return outcomes;
    }
    if (needsCommonEntries(entries.front())) {
        outcomes.push_back({OutcomeKind::NotYet});
        return outcomes;
    }
    finalizeDependenciesOf(entries.front());
    undoPendingEdits();
    for (const Entry &it : entries) {
        outcomes.push_back(applyNextZone(it));
        if (outcomes.back().kind == OutcomeKind::NotYet) {
            break;
        }
    }
    reapplyPendingEdits();
    return outcomes;
}

Outcome Fold::applyNextZone(const Entry &entry)
{
    if (entry.offset <= m_state.appliedTo) {
        return {OutcomeKind::Duplicate};
    }
    if (needsCommonEntries(entry)) {
        return {OutcomeKind::NotYet};
    }
    m_state.appliedTo = entry.offset;
    const Record *record = entry.record();
    if (record == nullptr) {
        return {OutcomeKind::Damaged};
    }
    finalizeUpTo(std::max(m_state.causalOffset, record->documentOffset));
    return applyZoneEvent(*record, entry.offset);
}

bool Fold::needsCommonEntries(const Entry &entry) const
{
    const Record *record = entry.record();
    return record != nullptr && entry.offset > m_state.appliedTo
        && record->documentOffset > m_state.commonAppliedTo;
}

// Edits up to the documentOffset of the first record need not be undone for it.
void Fold::finalizeDependenciesOf(const Entry &entry)
{
    const Record *record = entry.record();
    if (record == nullptr || entry.offset <= m_state.appliedTo) {
        return;
    }
    m_state.causalOffset = std::max(m_state.causalOffset, record->documentOffset);
    while (!m_pendingSteps.empty() && m_pendingSteps.front().offset <= m_state.causalOffset) {
        m_pendingSteps.pop_front();
    }
}

void Fold::finalizeUpTo(Offset causalOffset)
{
    m_state.causalOffset = causalOffset;
    while (!m_pendingSteps.empty() && m_pendingSteps.front().offset <= causalOffset) {
        if (const auto &edit = m_pendingSteps.front().edit) {
            Fleet::applyEdit(*m_charts, m_state, edit->offset, edit->edit);
        }
        m_pendingSteps.pop_front();
    }
}

void Fold::undoPendingEdits()
{
    for (auto it = m_pendingSteps.rbegin(); it != m_pendingSteps.rend(); ++it) {
        if (it->edit) {
            undoEdit(m_state, std::move(it->edit->undo));
        }
    }
}

void Fold::reapplyPendingEdits()
{
    for (CommonStep &it : m_pendingSteps) {
        if (it.edit) {
            it.edit->undo = Fleet::applyEdit(*m_charts, m_state, it.edit->offset, it.edit->edit);
        }
    }
}

Outcome Fold::applyZoneEvent(const Record &record, Offset offset)
{
    if (m_state.recentZone.contains(record.id)) {
        return {OutcomeKind::Duplicate};
    }
    m_state.recentZone.remember(offset, record.id);
    updateDocumentInForce(record);
    if (!isUnderCurrentTerm(record)) {
        return {OutcomeKind::StaleTerm};
    }
    return std::visit(ZoneRules(*m_charts, m_state, offset), record.event);
}

// A claim names its predecessor in `previousTerm`, which ZoneRules checks.
bool Fold::isUnderCurrentTerm(const Record &record) const
{
    if (std::holds_alternative<PlannerClaimed>(record.event)) {
        return true;
    }
    if (record.term == Offset{} && !needsTerm(record.event)) {
        return true;
    }
    return record.term != Offset{} && record.term == currentTerm(m_state);
}

void Fold::updateDocumentInForce(const Record &record)
{
    const auto it = m_state.members.find(record.author);
    if (it != m_state.members.end()) {
        it->second.documentInForce = std::max(it->second.documentInForce, record.documentOffset);
    }
}

FleetState Fold::snapshot() const
{
    FleetState stableState = m_state;
    for (auto it = m_pendingSteps.rbegin(); it != m_pendingSteps.rend(); ++it) {
        if (it->edit) {
            undoEdit(stableState, it->edit->undo);
        }
        if (it->isInWindow) {
            stableState.recentCommon.removeNewest(it->evicted);
        }
        stableState.commonAppliedTo = it->previous;
    }
    return stableState;
}

} // namespace Fleet
