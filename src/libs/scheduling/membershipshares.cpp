#include "membershipshares.h"

#include <algorithm>
#include <utility>

namespace Scheduling
{

MembershipShares::MembershipShares(Base::MemberName self, Base::Duration fencingPeriod)
    : m_self(std::move(self))
    , m_fencingPeriod(fencingPeriod)
    , m_epochs(1)
{
}

void MembershipShares::setTargets(std::span<const TargetSpec> targets, Base::Instant now)
{
    m_targets.assign(targets.begin(), targets.end());
    advance(now);
    update();
}

void MembershipShares::setEpoch(const MembershipEpoch &epoch, Base::Instant now)
{
    if (epoch.number <= m_epochs.back().number) {
        return;
    }
    for (const Member &it : m_epochs.back().members) {
        if (!epoch.hasMember(it.name) && it.name != m_self && m_left.erase(it.name) == 0) {
            m_removedSince.emplace(it.name, now);
        }
    }
    m_epochs.push_back(epoch);
    advance(now);
    update();
}

bool MembershipShares::acknowledge(const Base::MemberName &peer, EpochNumber epoch, Base::Instant now)
{
    EpochNumber &acknowledged = m_acknowledged[peer];
    if (epoch <= acknowledged) {
        return false;
    }
    acknowledged = epoch;
    advance(now);
    update();
    return true;
}

bool MembershipShares::release(const Base::MemberName &peer)
{
    const bool isGone = m_removedSince.erase(peer) > 0;
    const bool isNew = epoch().hasMember(peer) && m_left.insert(peer).second;
    if (isGone || isNew) {
        update();
    }
    return isGone || isNew;
}

bool MembershipShares::advance(Base::Instant now)
{
    const auto n = boost::unordered::erase_if(
        m_removedSince, [&](const auto &it) { return it.second + m_fencingPeriod <= now; });
    if (n > 0) {
        update();
    }
    return n > 0;
}

std::optional<Base::Instant> MembershipShares::nextDue() const
{
    std::optional<Base::Instant> earliest;
    for (const auto &[name, since] : m_removedSince) {
        earliest = std::min(earliest.value_or(since + m_fencingPeriod), since + m_fencingPeriod);
    }
    return earliest;
}

std::uint32_t MembershipShares::slotsOf(std::size_t target) const
{
    return m_slots[target];
}

bool MembershipShares::isSettled() const
{
    return m_epochs.size() == 1 && !m_isJoining;
}

bool MembershipShares::isFencing() const
{
    return !m_removedSince.empty();
}

const MembershipEpoch &MembershipShares::epoch() const
{
    return m_epochs.back();
}

std::uint32_t MembershipShares::computeSlots(const TargetSpec &target) const
{
    const std::uint32_t newest = baseShare(target, epoch(), m_self);
    if (isReleasedByPeers(target)) {
        return newest;
    }
    // A joining member had no slots before its first epoch, so the list starts with an empty epoch.
    std::uint32_t smallest = newest;
    for (const MembershipEpoch &it : m_epochs) {
        smallest = std::min(smallest, baseShare(target, it, m_self));
    }
    return smallest;
}

// True if all peers that had a larger share of the target before have released the difference.
bool MembershipShares::isReleasedByPeers(const TargetSpec &target) const
{
    for (const MembershipEpoch &before : m_epochs) {
        for (const Member &it : before.members) {
            const bool hadMore =
                m_isJoining || baseShare(target, before, it.name) > baseShare(target, epoch(), it.name);
            if (it.name != m_self && hadMore && !hasAcknowledged(it.name)) {
                return false;
            }
        }
    }
    return true;
}

bool MembershipShares::hasAcknowledged(const Base::MemberName &peer) const
{
    if (!epoch().hasMember(peer)) {
        return !m_removedSince.contains(peer);
    }
    if (m_left.contains(peer)) {
        return true;
    }
    const auto it = m_acknowledged.find(peer);
    return it != m_acknowledged.end() && it->second >= epoch().number;
}

void MembershipShares::update()
{
    const bool isAcknowledged =
        std::all_of(epoch().members.begin(), epoch().members.end(), [this](const Member &it) {
            return it.name == m_self || hasAcknowledged(it.name);
        });
    if (isAcknowledged && m_removedSince.empty() && epoch().number > EpochNumber{}) {
        m_epochs.erase(m_epochs.begin(), m_epochs.end() - 1);
        m_isJoining = false;
    }
    m_slots.clear();
    for (const TargetSpec &it : m_targets) {
        m_slots.push_back(computeSlots(it));
    }
}

} // namespace Scheduling
