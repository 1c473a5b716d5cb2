#include "statecursor.h"

#include <vector>

namespace Replay
{

StateCursor::StateCursor(const Fleet::Fold &start, const Streams &streams)
    : m_start(start)
    , m_streams(streams)
    , m_fold(start)
    , m_common(streams.common)
    , m_zone(streams.zone)
{
}

const Fleet::FleetState &StateCursor::stateAt(Fleet::Offset common, Fleet::Offset zone)
{
    if (m_fold.state().commonAppliedTo > common || m_fold.state().appliedTo > zone) {
        m_fold = m_start;
        m_common = m_streams.common;
        m_zone = m_streams.zone;
    }
    foldTo(common, zone);
    return m_fold.state();
}

void StateCursor::foldTo(Fleet::Offset common, Fleet::Offset zone)
{
    while (!m_common.empty() && m_common.front().offset <= common) {
        m_fold.applyCommon(m_common.front());
        m_common = m_common.subspan(1);
    }
    std::size_t count = 0;
    while (count < m_zone.size() && m_zone[count].offset <= zone) {
        ++count;
    }
    const std::vector<Fleet::Outcome> outcomes = m_fold.applyZone(m_zone.first(count));
    const bool isWaiting = !outcomes.empty() && outcomes.back().kind == Fleet::OutcomeKind::NotYet;
    m_zone = m_zone.subspan(outcomes.size() - (isWaiting ? 1 : 0));
}

} // namespace Replay
