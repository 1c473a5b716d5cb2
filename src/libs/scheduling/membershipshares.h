#pragma once

#include "membership.h"

#include <base/instant.h>

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace Scheduling
{

/// The slots that belong to this member, through changes of the membership. A share shrinks as soon as the
/// epoch is known. It grows only when those who had the slots acknowledged the epoch, or were gone for as
/// long as `fence`, which covers their longest request. So no two members hold one slot.
class MembershipShares
{
public:
    MembershipShares(Base::MemberName self, Base::Duration fence);

    void setTargets(std::span<const TargetSpec> targets, Base::Instant now);

    /// Epochs older than the last one are ignored.
    void setEpoch(const MembershipEpoch &epoch, Base::Instant now);

    /// A peer uses no more than its share in the epoch. True when slots may have changed.
    bool acknowledge(const Base::MemberName &peer, EpochNumber epoch, Base::Instant now);

    /// A peer uses no slot and won't again: nobody has to wait for it. True when slots may have changed.
    bool release(const Base::MemberName &peer);

    /// True when slots may have changed.
    bool advance(Base::Instant now);
    std::optional<Base::Instant> nextDue() const;

    /// This member's slots of the target, as of now. The target's place in the last setTargets().
    std::uint32_t slotsOf(std::size_t target) const;

    /// All members are known to keep to the newest epoch.
    bool isSettled() const;

    /// A member that went may still use its slots; until that is over, nothing may be acknowledged.
    bool isFencing() const;

    const MembershipEpoch &epoch() const;

private:
    std::uint32_t computeSlots(const TargetSpec &target) const;
    bool isReleasedByPeers(const TargetSpec &target) const;
    bool hasAcknowledged(const Base::MemberName &peer) const;
    void update();

    Base::MemberName m_self;
    Base::Duration m_fence;
    std::vector<TargetSpec> m_targets;
    std::vector<std::uint32_t> m_slots;
    std::deque<MembershipEpoch> m_epochs; ///< the settled one, then those under way
    bool m_isJoining = true; ///< what the others held before the first epoch is not known
    boost::unordered_flat_map<Base::MemberName, EpochNumber, std::hash<Base::MemberName>> m_acknowledged;
    boost::unordered_flat_map<Base::MemberName, Base::Instant, std::hash<Base::MemberName>> m_removedSince;
    boost::unordered_flat_set<Base::MemberName, std::hash<Base::MemberName>> m_left;
};

} // namespace Scheduling
