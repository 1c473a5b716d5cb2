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

/// The platform's answer to a renewal of the membership.
struct MembershipGrant {
    std::uint64_t generation = 0;
    std::vector<ShardNumber> shards;
};

/// A request to renew the membership.
struct MembershipRenewal {
    std::uint64_t generation = 0; ///< the newest one known to this member
    Base::Duration lifetime{}; ///< of the membership, from when the store receives the renewal
    Base::Duration timeout{}; ///< timeout of the call
};

/// The shards that this member owns and their epochs, according to the memberships it was granted.
class Ownership
{
public:
    struct Change {
        std::vector<ShardNumber> gained;
        std::vector<ShardNumber> lost;
    };

    /// `askedAt` is when the renewal was sent, `lifetime` what it requested. If the membership had
    /// lapsed and the generation has changed since, a shard may have had another owner in between; such
    /// shards are reported as both lost and gained. A shard that `keeps` returns true for is kept although
    /// the grant leaves it out; the store is not notified that it is given up, and may not assign it to
    /// others.
    Change granted(const MembershipGrant &grant,
                   Base::Instant askedAt,
                   Base::Duration lifetime,
                   bool keepsUnlisted = false);
    /// Gives up all shards and returns them. The next grant is treated like the first one.
    std::vector<ShardNumber> removeAll();

    /// Removes a shard. The next grant that contains it makes this member its owner again.
    void remove(ShardNumber shard);
    /// Shortens the membership by a time for which the process was suspended and its clock did not advance.
    void shortenBy(Base::Duration time);

    /// Whether the membership is known to be valid.
    bool isValid(Base::Instant now) const;
    Base::Instant validUntil() const;
    /// The latest generation whose assignment this member has followed. With a later one it would give up the
    /// shards that it keeps.
    std::uint64_t generation() const;
    /// The epoch of the shard, or 0 if it isn't owned.
    Jobs::Epoch epoch(ShardNumber shard) const;

private:
    Base::Instant m_validUntil;
    std::uint64_t m_generation = 0; ///< the latest one granted
    std::uint64_t m_followedGeneration = 0;
    std::map<ShardNumber, Jobs::Epoch> m_epochs;
};

} // namespace JobService
