#pragma once

#include "step.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Replay
{

/// What must hold at every offset.
enum class Invariant {
    OnePool,
    BudgetOfPlannedStop, ///< a planned stop leaves the budget with the largest failure domain lost
    BudgetInForce, ///< the slots available meet the budget
    OneDecision,
    EditsStay,
    DrainAcknowledged,
    LegalTransition,
    DecisionFollows,
    SnapshotAgrees,
};

/// The rule in full, as operators know it.
std::string_view lineOf(Invariant invariant);

/// As in JSON: "one-pool" and so on.
std::string_view toString(Invariant invariant);

std::string_view toString(Stream stream);

/// Where a rule broke.
struct Violation {
    Stream stream = Stream::Common;
    Fleet::Offset offset;
    Invariant invariant = Invariant::OnePool;
    std::string detail;

    bool operator==(const Violation &) const = default;
};

/// Collects violations in the order in which they are found.
class Violations
{
public:
    void add(const Step &step, Invariant invariant, std::string detail);

    const std::vector<Violation> &list() const
    {
        return m_list;
    }

private:
    std::vector<Violation> m_list;
};

} // namespace Replay
