#pragma once

#include "charts.h"
#include "editapplication.h"
#include "entry.h"
#include "fleetstate.h"
#include "outcome.h"

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Fleet
{

/// Folds the common stream and one zone's stream into that zone's state. Each stream is to be given in the
/// order of its offsets; how the two are interleaved makes no difference to the state.
class Fold
{
public:
    /// Starts before all records. `charts` must outlive the fold.
    Fold(const Charts &charts, Base::AvailabilityZoneName zone);

    /// Starts from a snapshot; goes on after its `commonAppliedTo` and its `appliedTo`.
    Fold(const Charts &charts, FleetState snapshot);

    /// Applies the next entry of the common stream.
    Outcome applyCommon(const Entry &entry);

    /// Applies the next entry of the zone's stream. NotYet changes nothing: the same entry is to be given
    /// again once the common stream was folded up to its `documentOffset`.
    Outcome applyZone(const Entry &entry);

    /// Applies the next entries of the zone's stream at the cost of one pass over the edits that are ahead of
    /// them. Returns one outcome for each entry; with NotYet for the last one, it and those after it are
    /// left.
    std::vector<Outcome> applyZone(std::span<const Entry> entries);

    const FleetState &state() const
    {
        return m_state;
    }

    /// The state to start from, without the edits that no record of the zone has built upon yet. It covers
    /// the common stream up to its `commonAppliedTo`, the zone's up to its `appliedTo`.
    FleetState snapshot() const;

private:
    struct AcceptedEdit {
        Offset offset;
        EditProposed edit;
        EditUndo undo;
    };

    /// One entry of the common stream that is ahead of what the zone's records have built upon.
    struct CommonStep {
        Offset offset;
        Offset previous;
        bool isRemembered = false;
        std::optional<RecordMark> evicted;
        std::optional<AcceptedEdit> edit;
    };

    Outcome applyCommonRecord(const Record &record, CommonStep &step);
    Outcome applyEdit(const EditProposed &event, CommonStep &step);
    Refusal whyRefused(const EditProposed &event) const;
    Outcome applyNextZone(const Entry &entry);
    bool isWaiting(const Entry &entry) const;
    void keepInForceFor(const Entry &entry);
    void settle(Offset causalOffset);
    void takeBackAhead();
    void putAheadInForce();
    Outcome applyZoneEvent(const Record &record, Offset offset);
    bool isUnderCurrentTerm(const Record &record) const;
    void noteDocumentInForce(const Record &record);

    const Charts *m_charts;
    FleetState m_state;
    std::deque<CommonStep> m_ahead; ///< after m_state.causalOffset
};

} // namespace Fleet
