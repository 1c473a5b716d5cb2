#pragma once

#include "passcontext.h"

#include <optional>

namespace Policy
{

/// The result of one planning pass. The caller records the observations together with the decisions, appends
/// the decisions in order under `PlannerIdentity::term`, and starts the next pass only after applying them to
/// its FleetState.
struct PlanResult {
    std::vector<Decision> decisions;
    std::vector<Deferral> deferrals;
    PlannerMemory memory; ///< for the next pass

    bool operator==(const PlanResult &) const = default;
};

/// Runs one planning pass for one availability zone. This is a pure function: equal arguments give equal
/// decisions on any machine. No decision is made without the planner lease, while members of the zone or the
/// platform are unreachable, or before the previous decisions have been applied to `state`.
PlanResult plan(const Fleet::FleetState &state,
                const Fleet::Observations &observations,
                const PlannerMemory &memory,
                const PlannerIdentity &identity);

/// Returns the claim of the zone's planner lease by `member` if the lease is free or the platform no longer
/// lists its holder. A mistaken claim is harmless because only one term is valid.
std::optional<Decision> claimLease(const Fleet::FleetState &state,
                                   const Fleet::Observations &observations,
                                   const Base::MemberName &member,
                                   const Base::AvailabilityZoneName &zone);

} // namespace Policy
