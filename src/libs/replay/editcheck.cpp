#include "editcheck.h"

#include <fmt/format.h>

namespace Replay
{

EditCheck::EditCheck(const Fleet::FleetState &start, Violations &violations)
    : m_violations(violations)
    , m_accepted(start.documentOffset)
{
}

void EditCheck::check(const Step &step)
{
    if (const auto *edit = step.applied<Fleet::EditProposed>()) {
        if (edit->base != m_accepted) {
            m_violations.add(step,
                             Invariant::EditsStay,
                             fmt::format("an edit of offset {} took effect over that of offset {}",
                                         edit->base.value,
                                         m_accepted.value));
        }
        m_accepted = step.entry.offset;
    }
    if (step.state.documentOffset != m_accepted) {
        m_violations.add(
            step,
            Invariant::EditsStay,
            fmt::format("the edit of offset {} is in force and not the accepted one of offset {}",
                        step.state.documentOffset.value,
                        m_accepted.value));
        m_accepted = step.state.documentOffset;
    }
}

} // namespace Replay
