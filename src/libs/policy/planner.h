#pragma once

#include "passcontext.h"

#include <optional>

namespace Policy
{

/// The outcome of one pass. The caller records the observations with the decisions, appends these in order
/// under `PlannerIdentity::term`, and passes again only after it has folded them.
struct Pass {
    std::vector<Decision> decisions;
    std::vector<Wait> waits;
    PlannerMemory memory; ///< for the next pass

    bool operator==(const Pass &) const = default;
};

/// One pass of the planner of one availability zone. A pure function: the same arguments give the same
/// decisions, on any machine. Nothing is decided without the lease, while the zone's members or the platform
/// can't be reached, or before the last decisions have been folded.
Pass plan(const Fleet::FleetState &state,
          const Fleet::Observations &observations,
          const PlannerMemory &memory,
          const PlannerIdentity &identity);

/// The claim of the zone's planner lease by `member`, when nobody holds it or the platform doesn't list its
/// holder any more. A claim that turns out wrong does no harm: only one term counts.
std::optional<Decision> claimLease(const Fleet::FleetState &state,
                                   const Fleet::Observations &observations,
                                   const Base::MemberName &member,
                                   const Base::AvailabilityZoneName &zone);

} // namespace Policy
