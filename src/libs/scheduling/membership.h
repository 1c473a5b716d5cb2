#pragma once

#include "fleetspecs.h"

#include <base/names.h>
#include <base/strongid.h>

#include <cstdint>
#include <vector>

namespace Scheduling
{

struct EpochTag;
using EpochNumber = Base::StrongId<EpochTag>;

/// One run of a daemon on an entry instance.
struct Member {
    Base::MemberName name;
    Base::AvailabilityZoneName zone;

    auto operator<=>(const Member &) const = default;
};

/// The members that share the slots, as the log says; numbers grow with each change.
struct MembershipEpoch {
    EpochNumber number;
    std::vector<Member> members;

    bool operator==(const MembershipEpoch &) const = default;

    bool hasMember(const Base::MemberName &name) const;
};

/// The slots of a target that belong to a member in an epoch. They are split evenly among the members of the
/// target's zone, or among all when it has none; rendezvous hashing gives the remainder. Sums up to `slots`.
std::uint32_t
baseShare(const TargetSpec &target, const MembershipEpoch &epoch, const Base::MemberName &member);

} // namespace Scheduling
