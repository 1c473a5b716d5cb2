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

/// One process of the daemon on an entry instance. A restarted daemon is a new member.
struct Member {
    Base::MemberName name;
    Base::AvailabilityZoneName zone;

    auto operator<=>(const Member &) const = default;
};

/// The members that share the slots, according to the log. The number increases with each change.
struct MembershipEpoch {
    EpochNumber number;
    std::vector<Member> members;

    bool operator==(const MembershipEpoch &) const = default;

    bool hasMember(const Base::MemberName &name) const;
};

/// Returns the slots of a target that belong to a member in an epoch. They are split evenly among the members
/// in the target's zone, or among all members if there are none. The remainder is assigned by rendezvous
/// hashing. The shares of all members add up to `slots`.
std::uint32_t
baseShare(const TargetSpec &target, const MembershipEpoch &epoch, const Base::MemberName &member);

} // namespace Scheduling
