#include "membership.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace Scheduling
{

namespace
{

std::uint64_t rendezvousWeight(const Base::InstanceName &target, const Base::MemberName &member)
{
    const auto seed = XXH3_64bits(target.value.data(), target.value.size());
    return XXH3_64bits_withSeed(member.value.data(), member.value.size(), seed);
}

bool isSharing(const Member &member, const TargetSpec &target, bool isZoneOnly)
{
    return !isZoneOnly || member.zone == target.zone;
}

} // namespace

bool MembershipEpoch::hasMember(const Base::MemberName &name) const
{
    return std::any_of(members.begin(), members.end(), [&name](const Member &it) { return it.name == name; });
}

std::uint32_t
baseShare(const TargetSpec &target, const MembershipEpoch &epoch, const Base::MemberName &member)
{
    const auto isOfZone = [&target](const Member &it) {
        return it.zone == target.zone;
    };
    const bool isZoneOnly = std::any_of(epoch.members.begin(), epoch.members.end(), isOfZone);
    const auto self = std::find_if(epoch.members.begin(), epoch.members.end(), [&member](const Member &it) {
        return it.name == member;
    });
    if (self == epoch.members.end() || !isSharing(*self, target, isZoneOnly)) {
        return 0;
    }
    const std::pair own{rendezvousWeight(target.instance, member), member};
    std::uint32_t sharers = 0;
    std::uint32_t higherRanked = 0;
    for (const Member &it : epoch.members) {
        if (isSharing(it, target, isZoneOnly)) {
            ++sharers;
            higherRanked += std::pair{rendezvousWeight(target.instance, it.name), it.name} > own ? 1 : 0;
        }
    }
    return target.slots / sharers + (higherRanked < target.slots % sharers ? 1 : 0);
}

} // namespace Scheduling
