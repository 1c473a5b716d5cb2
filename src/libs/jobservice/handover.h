#pragma once

#include <base/instant.h>

#include <optional>

namespace JobService
{

/// A shard that the store would assign to another member.
struct UnlistedShard {
    Base::Instant since; ///< since when the memberships granted have left it out
    std::optional<Base::Instant> writtenAt; ///< when the latest write that the store accepted was sent
    bool isServed = true; ///< or is still being loaded
};

/// Decides when an owner hands over a shard that the store would assign to another member.
///
/// While answers of the store are lost or late, the next owner may need seconds to load the shard, and
/// members that lapse and return reassign the shards several times. The owner then keeps a shard for which it
/// is writing. The store assigns it to another member only after this one has joined with a generation that
/// leaves it out, and rejects the writes of an owner once there is a later one.
class Handover
{
public:
    /// To be called with the time that a renewal took; a renewal that failed counts as a late one.
    void renewalAnswered(Base::Duration latency, Base::Instant now);
    void renewalMissed(Base::Instant now);

    bool mayKeep(const UnlistedShard &shard, Base::Instant now) const;
    /// Whether a shard that is kept should be written to, so that it may be kept on.
    static bool needsWrite(const UnlistedShard &shard, Base::Instant now);

private:
    std::optional<Base::Instant> m_lastLateAnswer;
};

} // namespace JobService
