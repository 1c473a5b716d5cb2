#pragma once

#include "charts.h"
#include "fleetstate.h"
#include "record.h"

#include <optional>
#include <vector>

namespace Fleet
{

/// What applying one accepted edit changed, enough to take it back.
struct EditUndo {
    Offset previousDocumentOffset;
    Document::Delta inverse;
    std::vector<InstanceState> formerInstances; ///< as they were
    std::vector<Base::InstanceName> addedInstances;
    std::vector<Move> abortedMoves;
    std::vector<Maintenance> endedMaintenances;
    std::optional<UnknownFields> formerUnknownFields; ///< when they changed
};

/// True when the document after the edit declares the pool of every instance that it declares.
bool leavesPoolsDeclared(const Document::Document &document, const Document::Delta &delta);

/// Puts an accepted edit in force.
/// - An instance that is removed, or goes to another zone, leaves the state; its move or maintenance ends.
/// - A changed declared pool is where the instance belongs from this offset on; its move is aborted.
/// - Where the declared pool is unchanged, the pool that a move gave the instance stays.
/// - An instance whose pool is removed goes back to its declared pool; moves to that pool are aborted.
EditUndo applyEdit(const Charts &charts, FleetState &state, Offset offset, const EditProposed &edit);

/// Takes back the edit applied last.
void undoEdit(FleetState &state, EditUndo undo);

/// The delta that leads back from the document after `delta` to this one.
Document::Delta inverseOf(const Document::Document &document, const Document::Delta &delta);

} // namespace Fleet
