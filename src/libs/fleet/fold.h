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

/// Replays the common stream and one zone's stream into the state of that zone. The entries of each stream
/// must be passed in the order of their offsets; the interleaving of the two doesn't affect the state.
class Fold
{
public:
    /// Starts from the empty state. `charts` must outlive the fold.
    Fold(const Charts &charts, Base::AvailabilityZoneName zone);

    /// Starts from a snapshot; continues after its `commonAppliedTo` and its `appliedTo`.
    Fold(const Charts &charts, FleetState snapshot);

    /// Applies the next entry of the common stream.
    Outcome applyCommon(const Entry &entry);

    /// Applies the next entry of the zone's stream. If the outcome is NotYet, the state is unchanged, and the
    /// entry must be passed again after the common stream was applied up to its `documentOffset`.
    Outcome applyZone(const Entry &entry);

    /// Applies the next entries of the zone's stream; undoes and reapplies the edits after them only once.
    /// Returns one outcome for each entry. Stops at the first NotYet: that entry and all after it were not
    /// applied.
    std::vector<Outcome> applyZone(std::span<const Entry> entries);

    const FleetState &state() const
    {
        return m_state;
    }

    /// A state from which another reader can start. It excludes the entries of the common stream after
    /// `causalOffset` and covers the streams up to its `commonAppliedTo` and its `appliedTo`.
    FleetState snapshot() const;

private:
    struct AcceptedEdit {
        Offset offset;
        EditProposed edit;
        EditUndo undo;
    };

    /// An applied entry of the common stream after `causalOffset`, with the data required to undo it.
    struct CommonStep {
        Offset offset;
        Offset previous;
        bool isInWindow = false;
        std::optional<RecordWindowEntry> evicted;
        std::optional<AcceptedEdit> edit;
    };

    Outcome applyCommonRecord(const Record &record, CommonStep &step);
    Outcome applyEdit(const EditProposed &event, CommonStep &step);
    Refusal validateEdit(const EditProposed &event) const;
    Outcome applyNextZone(const Entry &entry);
    bool needsCommonEntries(const Entry &entry) const;
    void finalizeDependenciesOf(const Entry &entry);
    void finalizeUpTo(Offset causalOffset);
    void undoPendingEdits();
    void reapplyPendingEdits();
    Outcome applyZoneEvent(const Record &record, Offset offset);
    bool isUnderCurrentTerm(const Record &record) const;
    void updateDocumentInForce(const Record &record);

    const Charts *m_charts;
    FleetState m_state;
    std::deque<CommonStep> m_pendingSteps; ///< applied entries after m_state.causalOffset
};

} // namespace Fleet
