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

/// What a member's machine can carry, in thousandths of a core.
using Strength = std::uint32_t;

/// The strength of a machine with so many cores of a speed and a link; the scarcer of the two counts.
Strength strengthOf(double cores, double speed, double linkMbps);

/// A member's name: where it is reached, its instance, its strength and the start of its process.
struct MemberName {
    std::string place; ///< "IP:port/instance/strength"; the same for each process in turn
    Strength strength = 0;
    std::uint64_t start = 0;
};
std::string toString(const MemberName &name);
/// Parts that can't be read are left at 0.
MemberName memberNameFrom(std::string_view text);

/// Decides whether this member should own shards.
///
/// Answers a fleet of machines of several sizes: a shard's owner speaks to all workers of a cell, which a
/// small machine can't do for many. It leaves the shards to stronger members while there are enough of them,
/// and a deal that shows few of them for a moment changes nothing.
class Candidacy
{
public:
    Candidacy(MemberName self, Base::Instant startedAt);

    /// `ready` are the places of members that have said lately that they could own shards, whether they do or
    /// not.
    void noteOwners(std::span<const ShardOwner> owners,
                    std::span<const std::string> ready,
                    std::size_t shardsInUse,
                    Base::Instant now);
    bool isCandidate() const;
    /// Too few stronger members own shards; others that are known to be stronger should be asked.
    bool isInDoubt() const;
    bool isStronger(const MemberName &other) const;

private:
    MemberName m_self;
    Base::Instant m_startedAt;
    bool m_isCandidate;
    std::optional<Base::Instant> m_fewSince; ///< since when there are too few stronger members
    bool m_isInDoubt = false;
};

} // namespace JobService
