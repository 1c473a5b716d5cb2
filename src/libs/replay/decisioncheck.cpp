#include "decisioncheck.h"

#include <fmt/format.h>

namespace Replay
{

DecisionCheck::DecisionCheck(const Fleet::FleetState &start, Violations &violations)
    : m_violations(violations)
    , m_term(currentTerm(start))
{
}

void DecisionCheck::check(const Step &step)
{
    if (step.applied<Fleet::PlannerClaimed>() != nullptr) {
        m_term = step.entry.offset;
    } else if (const auto *move = step.applied<Fleet::MoveStarted>()) {
        note(step, move->id, Stage::Started);
    } else if (const auto *maintenance = step.applied<Fleet::MaintenanceStarted>()) {
        note(step, maintenance->id, Stage::Started);
    } else if (const auto *wave = step.applied<Fleet::WaveStarted>()) {
        note(step, wave->id, Stage::Started);
    } else if (const auto *requested = step.applied<Fleet::RebootRequested>()) {
        note(step, requested->id, Stage::Rebooted);
    } else if (const auto *committed = step.applied<Fleet::MoveCommitted>()) {
        note(step, committed->id, Stage::Ended);
    } else if (const auto *aborted = step.applied<Fleet::MoveAborted>()) {
        note(step, aborted->id, Stage::Ended);
    } else if (const auto *ended = step.applied<Fleet::MaintenanceEnded>()) {
        note(step, ended->id, Stage::Ended);
    }
}

void DecisionCheck::note(const Step &step, const Fleet::ActionId &id, Stage stage)
{
    const Fleet::Offset term = step.entry.record()->term;
    if (term != m_term) {
        m_violations.add(step,
                         Invariant::OneDecision,
                         fmt::format("action {} was decided under term {}, and the current one is {}",
                                     id.value,
                                     term.value,
                                     m_term.value));
    }
    if (!m_stages[id].insert(stage).second) {
        m_violations.add(step, Invariant::OneDecision, fmt::format("action {} was decided twice", id.value));
    }
}

} // namespace Replay
