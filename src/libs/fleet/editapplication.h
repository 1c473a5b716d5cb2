#pragma once

#include "charts.h"
#include "fleetstate.h"
#include "record.h"

#include <optional>
#include <vector>

namespace Fleet
{

/// The data required to undo an accepted edit.
struct EditUndo {
    Offset previousDocumentOffset;
    Document::Delta inverse;
    std::vector<InstanceState> formerInstances; ///< the states before the edit; may hold an instance twice
    std::vector<Base::InstanceName> addedInstances;
    std::vector<Move> abortedMoves;
    std::vector<Maintenance> endedMaintenances;
    std::optional<UnknownFields> formerUnknownFields; ///< set if they changed
};

/// True if every instance declared in the document after the edit refers to a declared pool.
bool declaresAllUsedPools(const Document::Document &document, const Document::Delta &delta);

/// Applies an accepted edit to the state.
/// - An instance that is removed or assigned to another zone is erased from the state, with its move or
///   maintenance.
/// - If the declared pool of an instance changes, the instance is assigned to the new pool as of this offset
///   and its move is aborted.
/// - If the declared pool is unchanged, a pool assigned by a move is kept.
/// - If a pool is removed, instances moved to it return to their declared pool, and open moves to it are
///   aborted.
EditUndo applyEdit(const Charts &charts, FleetState &state, Offset offset, const EditProposed &edit);

/// Undoes the most recently applied edit.
void undoEdit(FleetState &state, EditUndo undo);

/// The delta that restores `document` after `delta` was applied to it.
Document::Delta inverseOf(const Document::Document &document, const Document::Delta &delta);

} // namespace Fleet
