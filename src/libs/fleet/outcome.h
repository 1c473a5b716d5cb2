#pragma once

#include <string_view>

namespace Fleet
{

/// What became of one record. Every reader comes to the same one.
enum class OutcomeKind {
    Applied,
    Refused, ///< it breaks a rule; nothing changed
    Duplicate, ///< its id, or its offset, was folded before
    StaleTerm, ///< decided under a term that isn't the current one
    Damaged, ///< can't be read; skipped
    NotYet, ///< waits for the common stream; to be applied again once that was folded further
};

/// Which rule a refused record broke.
enum class Refusal {
    None,
    WrongStream,
    SupersededBase, ///< the edit was not made against the last accepted one
    UndeclaredPool, ///< the edit would leave an instance in a pool that the document doesn't declare
    SupersededTerm, ///< the claim was not made against the current term
    OtherZone,
    UnknownInstance,
    UnknownPool,
    UnknownAction,
    UnknownMember,
    UnknownWave,
    AlreadyMember,
    ActionExists,
    InstanceInAction,
    InstanceDone, ///< the wave has been at this instance
    NotInPool, ///< the instance doesn't belong to the pool that it should leave
    SamePool,
    DrainNotAcknowledged, ///< by every member
    MaintenanceOpen,
    WaveNumberUsed,
    IllegalTransition, ///< by a state chart
};

struct Outcome {
    OutcomeKind kind = OutcomeKind::Applied;
    Refusal refusal = Refusal::None; ///< for Refused only

    bool operator==(const Outcome &) const = default;
    bool isApplied() const
    {
        return kind == OutcomeKind::Applied;
    }
};

/// As in log lines: "applied", "refused", "duplicate", "stale-term", "damaged", "not-yet".
std::string_view toString(OutcomeKind kind);

/// As in log lines: "superseded-base" and so on; "none" for None.
std::string_view toString(Refusal refusal);

} // namespace Fleet
