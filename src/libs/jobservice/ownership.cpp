#include "ownership.h"

#include <algorithm>

namespace JobService
{

Ownership::Change Ownership::granted(const MembershipGrant &grant,
                                     Base::Instant askedAt,
                                     Base::Duration lifetime,
                                     bool keepsUnlisted)
{
    Change change;
    bool hasKept = false;
    const bool hasGap = askedAt > m_validUntil && grant.generation != m_generation;
    for (auto it = m_epochs.begin(); it != m_epochs.end();) {
        const bool isListed =
            std::find(grant.shards.begin(), grant.shards.end(), it->first) != grant.shards.end();
        if (isListed && !hasGap) {
            ++it;
            continue;
        }
        if (!isListed && !hasGap && keepsUnlisted) {
            hasKept = true;
            ++it;
            continue;
        }
        change.lost.push_back(it->first);
        it = m_epochs.erase(it);
    }
    for (const ShardNumber it : grant.shards) {
        if (m_epochs.try_emplace(it, grant.generation).second) {
            change.gained.push_back(it);
        }
    }
    m_generation = grant.generation;
    m_followedGeneration = hasKept ? m_followedGeneration : grant.generation;
    m_validUntil = askedAt + lifetime;
    return change;
}

std::vector<ShardNumber> Ownership::removeAll()
{
    std::vector<ShardNumber> lost;
    for (const auto &[shard, epoch] : m_epochs) {
        lost.push_back(shard);
    }
    m_epochs.clear();
    m_generation = 0;
    m_followedGeneration = 0;
    m_validUntil = {};
    return lost;
}

void Ownership::remove(ShardNumber shard)
{
    m_epochs.erase(shard);
}

void Ownership::shortenBy(Base::Duration time)
{
    m_validUntil -= time;
}

bool Ownership::isValid(Base::Instant now) const
{
    return now < m_validUntil;
}

Base::Instant Ownership::validUntil() const
{
    return m_validUntil;
}

std::uint64_t Ownership::generation() const
{
    return m_followedGeneration;
}

Jobs::Epoch Ownership::epoch(ShardNumber shard) const
{
    const auto it = m_epochs.find(shard);
    return it != m_epochs.end() ? it->second : 0;
}

} // namespace JobService
