#include "outcome.h"

namespace Fleet
{

std::string_view toString(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Applied:
        return "applied";
    case OutcomeKind::Refused:
        return "refused";
    case OutcomeKind::Duplicate:
        return "duplicate";
    case OutcomeKind::StaleTerm:
        return "stale-term";
    case OutcomeKind::Damaged:
        return "damaged";
    case OutcomeKind::NotYet:
        return "not-yet";
    }
    return "";
}

std::string_view toString(Refusal refusal)
{
    switch (refusal) {
    case Refusal::None:
        return "none";
    case Refusal::WrongStream:
        return "wrong-stream";
    case Refusal::SupersededBase:
        return "superseded-base";
    case Refusal::UndeclaredPool:
        return "undeclared-pool";
    case Refusal::SupersededTerm:
        return "superseded-term";
    case Refusal::OtherZone:
        return "other-zone";
    case Refusal::UnknownInstance:
        return "unknown-instance";
    case Refusal::UnknownPool:
        return "unknown-pool";
    case Refusal::UnknownAction:
        return "unknown-action";
    case Refusal::UnknownMember:
        return "unknown-member";
    case Refusal::UnknownWave:
        return "unknown-wave";
    case Refusal::AlreadyMember:
        return "already-member";
    case Refusal::ActionExists:
        return "action-exists";
    case Refusal::InstanceInAction:
        return "instance-in-action";
    case Refusal::InstanceAlreadyRebooted:
        return "instance-done";
    case Refusal::NotInPool:
        return "not-in-pool";
    case Refusal::SamePool:
        return "same-pool";
    case Refusal::DrainNotAcknowledged:
        return "drain-not-acknowledged";
    case Refusal::MaintenanceOpen:
        return "maintenance-open";
    case Refusal::WaveNumberUsed:
        return "wave-number-used";
    case Refusal::IllegalTransition:
        return "illegal-transition";
    }
    return "";
}

} // namespace Fleet
