#include "candidacy.h"

#include <ini/values.h>

#include <algorithm>
#include <set>

namespace JobService
{

namespace
{

// Carries the shard of a service of any size seen so far: with 85 workers it takes about 0.12 cores in a turn
// (docs/CAPACITY.md). Such members join at once.
constexpr Strength AmpleStrength = 200;

// A link of so many Mbit/s goes with a core: an owner's traffic with its workers is about 1 kB an order.
constexpr double LinkMbpsPerCore = 50;

// The others wait so long after their start for stronger ones to show.
constexpr Base::Duration StartPatience = std::chrono::milliseconds{2000};

// A member counts as stronger from this multiple on, so that nearly equal ones share the work.
constexpr Strength StrongerBy = 2;

// Shards that one strong member carries beside others.
constexpr std::size_t ShardsPerMember = 2;

} // namespace

Strength strengthOf(double cores, double speed, double linkMbps)
{
    const double scarcer = std::min(cores * speed, linkMbps / LinkMbpsPerCore);
    return static_cast<Strength>(std::max(1.0, scarcer * 1000));
}

std::string toString(const MemberName &name)
{
    return name.place + "/" + std::to_string(name.start);
}

MemberName memberNameFrom(std::string_view text)
{
    MemberName name;
    const auto last = text.rfind('/');
    if (last == std::string_view::npos) {
        name.place = std::string(text);
        return name;
    }
    name.place = std::string(text.substr(0, last));
    name.start = Ini::toInteger(text.substr(last + 1)).value_or(0);
    const auto strength = Ini::toInteger(std::string_view(name.place).substr(name.place.rfind('/') + 1));
    name.strength = static_cast<Strength>(strength.value_or(0));
    return name;
}

Candidacy::Candidacy(Strength strength, Base::Instant startedAt)
    : m_strength(strength)
    , m_startedAt(startedAt)
    , m_isCandidate(strength >= AmpleStrength)
{
}

void Candidacy::noteOwners(std::span<const ShardOwner> owners, std::size_t shardsInUse, Base::Instant now)
{
    if (!m_isCandidate && now - m_startedAt < StartPatience) {
        return;
    }
    std::set<std::string> stronger;
    for (const ShardOwner &it : owners) {
        const MemberName name = memberNameFrom(it.member);
        if (name.strength >= m_strength * StrongerBy) {
            stronger.insert(name.place);
        }
    }
    m_isCandidate = stronger.size() * ShardsPerMember < shardsInUse;
}

bool Candidacy::isCandidate() const
{
    return m_isCandidate;
}

} // namespace JobService
