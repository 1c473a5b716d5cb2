#include "snapshotcheck.h"

#include <fmt/format.h>

namespace Replay
{

void SnapshotCheck::check(const Step &step)
{
    const auto *snapshot = step.applied<Fleet::SnapshotTaken>();
    if (snapshot == nullptr || snapshot->state.zone != step.state.zone) {
        return;
    }
    const Fleet::FleetState &state = snapshot->state;
    if (m_cursor.stateAt(state.commonAppliedTo, state.appliedTo) != state) {
        m_violations.add(
            step,
            Invariant::SnapshotAgrees,
            fmt::format("the snapshot differs from the fold up to common offset {} and zone offset {}",
                        state.commonAppliedTo.value,
                        state.appliedTo.value));
    }
}

} // namespace Replay
