#include "handover.h"

#include <algorithm>

namespace JobService
{

namespace
{

// A renewal that takes longer has lost answers, or the store is slow.
constexpr Base::Duration LateAnswer = std::chrono::milliseconds{100};
// Answers are taken to be lost or late for this time after the latest such renewal.
constexpr Base::Duration DisturbedTime = std::chrono::milliseconds{3000};

// The longest time for which the assignment of the store is not followed.
constexpr Base::Duration MaxKeepTime = std::chrono::milliseconds{6000};

// Part of ShardSettings::staleOwnerTimeout: a later owner may have been assigned since the latest write.
constexpr Base::Duration MaxWriteAge = std::chrono::milliseconds{800};

Base::Instant confirmedAt(const UnlistedShard &shard)
{
    return std::max(shard.since, shard.writtenAt.value_or(shard.since));
}

} // namespace

void Handover::renewalAnswered(Base::Duration latency, Base::Instant now)
{
    if (latency > LateAnswer) {
        m_lastLateAnswer = now;
    }
}

void Handover::renewalMissed(Base::Instant now)
{
    m_lastLateAnswer = now;
}

// At times the store reassigns all shards at once. Only a write that it has accepted, or an assignment, shows
// that no later owner has fenced this one. A shard that is not served yet is fenced while it is loaded.
bool Handover::mayKeep(const UnlistedShard &shard, Base::Instant now) const
{
    return m_lastLateAnswer && now - *m_lastLateAnswer < DisturbedTime && now - shard.since < MaxKeepTime
        && (!shard.isServed || now - confirmedAt(shard) < MaxWriteAge);
}

bool Handover::needsWrite(const UnlistedShard &shard, Base::Instant now)
{
    return shard.isServed && now - confirmedAt(shard) >= MaxWriteAge / 4;
}

} // namespace JobService
