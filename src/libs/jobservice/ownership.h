#pragma once

#include <base/instant.h>
#include <jobs/shardcommands.h>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace JobService
{

using Jobs::ShardNumber;

/// What the platform said when this member renewed its membership.
struct MembershipGrant {
    std::uint64_t generation = 0;
    std::vector<ShardNumber> shards;
};

/// What this member asks of the platform.
struct MembershipRenewal {
    std::uint64_t generation = 0; ///< the newest one that it knows
    Base::Duration lifetime{}; ///< of the membership, from the arrival of the renewal
    Base::Duration patience{}; ///< for the answer
};

/// Which shards this member owns, and under which epoch, by the memberships it was granted.
class Ownership
{
public:
    struct Change {
        std::vector<ShardNumber> gained;
        std::vector<ShardNumber> lost;
    };

    /// `askedAt` is when the renewal was sent, `lifetime` what it asked for. A renewal that came too late may
    /// hide that a shard has been elsewhere in between; such shards are lost and gained again.
    Change granted(const MembershipGrant &grant, Base::Instant askedAt, Base::Duration lifetime);
    /// Everything is lost; the next grant counts from the beginning.
    std::vector<ShardNumber> drop();

    /// The shard has another owner; only a later generation brings it back.
    void forget(ShardNumber shard);
    /// The process stood still for a time that its clock has not counted.
    void suspended(Base::Duration time);

    /// The membership is known to be valid.
    bool isValid(Base::Instant now) const;
    Base::Instant validUntil() const;
    std::uint64_t generation() const;
    /// 0 for a shard that isn't owned.
    Jobs::Epoch epoch(ShardNumber shard) const;

private:
    Base::Instant m_validUntil;
    std::uint64_t m_generation = 0;
    std::map<ShardNumber, Jobs::Epoch> m_epochs;
};

} // namespace JobService
