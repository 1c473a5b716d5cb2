#include "candidacy.h"

#include <ini/values.h>

#include <algorithm>
#include <set>
#include <utility>

namespace JobService
{

namespace
{

// Enough for the shard of a service of any size seen so far: one with 85 workers needs about 0.12 cores
// during a peak (docs/CAPACITY.md). Such members join at once.
constexpr Strength SufficientStrength = 200;

// Link rate in Mbit/s that matches one core: an owner's traffic with its workers is about 1 kB per order.
constexpr double LinkMbpsPerCore = 50;

// Other members wait this time after their start for stronger ones to appear.
constexpr Base::Duration StartGracePeriod = std::chrono::milliseconds{2000};

// Factor from which on a member counts as stronger, so that nearly equal members share the work.
constexpr Strength StrongerFactor = 2;

// A weak member joins after too few stronger members have owned shards for this time. While all shards are
// reassigned, or the store rejects some members, few stronger members are listed for about two seconds.
constexpr Base::Duration FewStrongerDelay = std::chrono::milliseconds{4000};
// The same if no stronger member owns shards, as the shards may then have no owner at all.
constexpr Base::Duration NoStrongerDelay = std::chrono::milliseconds{800};

// Number of shards that a strong member can own for a while if others like it are gone: an owner of one cell
// on the large site uses 0.06 of its 0.5 cores during a peak (docs/CAPACITY.md).
constexpr std::size_t ShardsPerMember = 4;

} // namespace

Strength strengthOf(double cores, double speed, double linkMbps)
{
    const double scarcer = std::min(cores * speed, linkMbps / LinkMbpsPerCore);
    return static_cast<Strength>(std::max(1.0, scarcer * 1000));
}

std::string toString(const MemberName &name)
{
    return name.identity + "/" + std::to_string(name.start);
}

MemberName memberNameFrom(std::string_view text)
{
    MemberName name;
    const auto last = text.rfind('/');
    if (last == std::string_view::npos) {
        name.identity = std::string(text);
        return name;
    }
    name.identity = std::string(text.substr(0, last));
    name.start = Ini::toInteger(text.substr(last + 1)).value_or(0);
    const auto strength =
        Ini::toInteger(std::string_view(name.identity).substr(name.identity.rfind('/') + 1));
    name.strength = static_cast<Strength>(strength.value_or(0));
    return name;
}

Candidacy::Candidacy(MemberName self, Base::Instant startedAt)
    : m_self(std::move(self))
    , m_startedAt(startedAt)
    , m_isCandidate(m_self.strength >= SufficientStrength)
{
}

// Members without shards aren't listed, so few strong members are seen while weak ones own shards. Strong
// members seen earlier are queried instead and passed as `ready`.
void Candidacy::updateOwners(std::span<const ShardOwner> owners,
                             std::span<const std::string> ready,
                             std::size_t shardsInUse,
                             Base::Instant now)
{
    if (!m_isCandidate && now - m_startedAt < StartGracePeriod) {
        return;
    }
    std::set<std::string> stronger;
    for (const ShardOwner &it : owners) {
        const MemberName name = memberNameFrom(it.member);
        if (isStrongerThanSelf(name)) {
            stronger.insert(name.identity);
        }
    }
    m_isInDoubt = stronger.size() * ShardsPerMember < shardsInUse;
    stronger.insert(ready.begin(), ready.end());
    if (stronger.size() * ShardsPerMember >= shardsInUse) {
        m_isCandidate = false;
        m_tooFewSince.reset();
        return;
    }
    m_tooFewSince = m_tooFewSince.value_or(now);
    m_isCandidate =
        m_isCandidate || now - *m_tooFewSince >= (stronger.empty() ? NoStrongerDelay : FewStrongerDelay);
}

bool Candidacy::needsMoreStrongMembers() const
{
    return m_isInDoubt;
}

bool Candidacy::isStrongerThanSelf(const MemberName &other) const
{
    return other.strength >= m_self.strength * StrongerFactor;
}

bool Candidacy::isCandidate() const
{
    return m_isCandidate;
}

} // namespace JobService
