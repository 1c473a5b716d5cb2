#pragma once

#include <string_view>

namespace Fleet
{

/// The result of applying a record. It is the same for every reader.
enum class OutcomeKind {
    Applied,
    Refused, ///< violates a rule; the state is unchanged
    Duplicate, ///< the ID or the offset was applied before
    StaleTerm, ///< the term isn't the current one
    Damaged, ///< can't be decoded; skipped
    NotYet, ///< depends on entries of the common stream not applied yet; to be retried
};

/// The rule that a refused record violates.
enum class Refusal {
    None,
    WrongStream,
    SupersededBase, ///< the edit is not based on the latest accepted one
    UndeclaredPool, ///< the edit would leave an instance in a pool that the document doesn't declare
    SupersededTerm, ///< the claim doesn't follow the current term
    OtherZone,
    UnknownInstance,
    UnknownPool,
    UnknownAction,
    UnknownMember,
    UnknownWave,
    AlreadyMember,
    ActionExists,
    InstanceInAction,
    InstanceAlreadyRebooted, ///< the wave has already rebooted this instance
    NotInPool, ///< the instance is not in the source pool of the move
    SamePool,
    DrainNotAcknowledged, ///< at least one member has not acknowledged
    MaintenanceOpen,
    WaveNumberUsed,
    IllegalTransition, ///< not allowed by a state chart
};

struct Outcome {
    OutcomeKind kind = OutcomeKind::Applied;
    Refusal refusal = Refusal::None; ///< set for Refused only

    bool operator==(const Outcome &) const = default;
    bool isApplied() const
    {
        return kind == OutcomeKind::Applied;
    }
};

/// The name used in log lines: "applied", "refused", "duplicate", "stale-term", "damaged", "not-yet".
std::string_view toString(OutcomeKind kind);

/// The name used in log lines, such as "superseded-base"; "none" for None.
std::string_view toString(Refusal refusal);

} // namespace Fleet
