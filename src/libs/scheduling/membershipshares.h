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

/// The slots that belong to this member across changes of the membership. A share shrinks as soon as the
/// epoch is known. It grows only after the previous owners of the slots have acknowledged the epoch, or were
/// removed for at least `fencingPeriod`, which covers their longest request. Therefore a slot never belongs
/// to two members.
class MembershipShares
{
public:
    MembershipShares(Base::MemberName self, Base::Duration fencingPeriod);

    void setTargets(std::span<const TargetSpec> targets, Base::Instant now);

    /// Epochs older than the last one are ignored.
    void setEpoch(const MembershipEpoch &epoch, Base::Instant now);

    /// Records that a peer uses no more than its share in the epoch. Returns true if slots may have changed.
    bool acknowledge(const Base::MemberName &peer, EpochNumber epoch, Base::Instant now);

    /// Records that a peer has stopped using slots for good, so that its slots can be reassigned without
    /// waiting. Returns true if slots may have changed.
    bool release(const Base::MemberName &peer);

    /// Returns true if slots may have changed.
    bool advance(Base::Instant now);
    std::optional<Base::Instant> nextDue() const;

    /// Returns this member's current slots of the target with this index in the last setTargets().
    std::uint32_t slotsOf(std::size_t target) const;

    /// True if all members have acknowledged the latest epoch.
    bool isSettled() const;

    /// True if a removed member may still use its slots. No epoch may be acknowledged until that is over.
    bool isFencing() const;

    const MembershipEpoch &epoch() const;

private:
    std::uint32_t computeSlots(const TargetSpec &target) const;
    bool isReleasedByPeers(const TargetSpec &target) const;
    bool hasAcknowledged(const Base::MemberName &peer) const;
    void update();

    Base::MemberName m_self;
    Base::Duration m_fencingPeriod;
    std::vector<TargetSpec> m_targets;
    std::vector<std::uint32_t> m_slots;
    std::deque<MembershipEpoch> m_epochs; ///< the last settled epoch and all later ones
    bool m_isJoining = true; ///< the peers' shares before the first epoch are unknown
    boost::unordered_flat_map<Base::MemberName, EpochNumber, std::hash<Base::MemberName>> m_acknowledged;
    boost::unordered_flat_map<Base::MemberName, Base::Instant, std::hash<Base::MemberName>> m_removedSince;
    boost::unordered_flat_set<Base::MemberName, std::hash<Base::MemberName>> m_left;
};

} // namespace Scheduling
