#pragma once

#include "step.h"

#include <fleet/fold.h>

namespace Replay
{

/// The state at any pair of offsets, by folding up to them. Cheap when asked for in growing order.
class StateCursor
{
public:
    /// `start` is where the streams begin; both it and what the streams view outlive the cursor.
    StateCursor(const Fleet::Fold &start, const Streams &streams);

    /// The state with the common stream folded up to `common` and the zone's up to `zone`.
    const Fleet::FleetState &stateAt(Fleet::Offset common, Fleet::Offset zone);

private:
    void foldTo(Fleet::Offset common, Fleet::Offset zone);

    const Fleet::Fold &m_start;
    Streams m_streams;
    Fleet::Fold m_fold;
    std::span<const Fleet::Entry> m_common; ///< not folded yet
    std::span<const Fleet::Entry> m_zone; ///< not folded yet
};

} // namespace Replay
