#include "violation.h"

#include <utility>

namespace Replay
{

std::string_view lineOf(Invariant invariant)
{
    switch (invariant) {
    case Invariant::OnePool:
        return "An instance belongs to exactly one pool at any moment.";
    case Invariant::BudgetOfPlannedStop:
    case Invariant::BudgetInForce:
        return "Every service's availability budget holds through moves, waves and failures.";
    case Invariant::OneDecision:
        return "At most one planner decides an action, once, under the current term.";
    case Invariant::EditsStay:
        return "Once a configuration is accepted, it is in force everywhere within seconds and never "
               "reverts.";
    case Invariant::DrainAcknowledged:
        return "Every planned stop is a graceful shutdown that cuts no request in flight.";
    case Invariant::LegalTransition:
        return "No transition takes effect that a state chart refuses.";
    case Invariant::DecisionFollows:
        return "Every decision follows from the record.";
    case Invariant::SnapshotAgrees:
        return "A snapshot says what the records before it say.";
    }
    return "";
}

std::string_view toString(Invariant invariant)
{
    switch (invariant) {
    case Invariant::OnePool:
        return "one-pool";
    case Invariant::BudgetOfPlannedStop:
        return "budget-of-planned-stop";
    case Invariant::BudgetInForce:
        return "budget-in-force";
    case Invariant::OneDecision:
        return "one-decision";
    case Invariant::EditsStay:
        return "edits-stay";
    case Invariant::DrainAcknowledged:
        return "drain-acknowledged";
    case Invariant::LegalTransition:
        return "legal-transition";
    case Invariant::DecisionFollows:
        return "decision-follows";
    case Invariant::SnapshotAgrees:
        return "snapshot-agrees";
    }
    return "";
}

std::string_view toString(Stream stream)
{
    return stream == Stream::Common ? "common" : "zone";
}

void Violations::add(const Step &step, Invariant invariant, std::string detail)
{
    m_list.push_back({step.stream, step.entry.offset, invariant, std::move(detail)});
}

} // namespace Replay
