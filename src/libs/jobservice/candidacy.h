#pragma once

#include "ports.h"

#include <base/instant.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace JobService
{

/// Capacity of a member's machine, in thousandths of a core.
using Strength = std::uint32_t;

/// The strength of a machine with the given processor and link. The scarcer of the two limits it.
Strength strengthOf(double cores, double speed, double linkMbps);

/// A member's name, which holds its endpoint, its instance, its strength and the start time of its process.
struct MemberName {
    std::string identity; ///< "IP:port/instance/strength"; unchanged when the process restarts
    Strength strength = 0;
    std::uint64_t start = 0;
};
std::string toString(const MemberName &name);
/// Parts that can't be parsed are 0.
MemberName memberNameFrom(std::string_view text);

/// Decides whether this member should own shards.
///
/// A shard's owner communicates with all workers of a cell, and a small machine can't do this for many
/// workers. In a fleet with machines of several sizes, a weak member therefore leaves the shards to stronger
/// ones while there are enough of them. Assignments that list few of them for a moment don't change its
/// decision.
class Candidacy
{
public:
    Candidacy(MemberName self, Base::Instant startedAt);

    /// `ready` are the places of members that have recently reported that they could own shards, whether they
    /// own any or not.
    void updateOwners(std::span<const ShardOwner> owners,
                      std::span<const std::string> ready,
                      std::size_t shardsInUse,
                      Base::Instant now);
    bool isCandidate() const;
    /// Whether too few stronger members own shards, so that other members known to be stronger should be
    /// queried.
    bool needsMoreStrongMembers() const;
    bool isStrongerThanSelf(const MemberName &other) const;

private:
    MemberName m_self;
    Base::Instant m_startedAt;
    bool m_isCandidate;
    std::optional<Base::Instant> m_tooFewSince; ///< since when there have been too few stronger members
    bool m_isInDoubt = false;
};

} // namespace JobService
