#include "scenario.h"

#include <algorithm>
#include <string>

using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t TargetsPerService = 10;
constexpr std::uint32_t Slots = 8;
constexpr std::uint32_t Connections = 64;
constexpr Document::PerMille Availability = 700;
constexpr double SurgeFactor = 5;
constexpr double LullFactor = 0.05;
constexpr double BatchShare = 0.1; // of the mean of the interactive requests
constexpr auto TurnLength = 5s;
constexpr auto SurgeLength = 3s;
constexpr auto LullLength = 5s;
constexpr auto FirstSurge = 2s;
constexpr double LeastSpread = 0.4;
constexpr double MostSpread = 1.6;
const std::array<const char *, 3> Zones{"a", "b", "c"};

} // namespace

Scenario::Scenario(const Faults &faults, double meanPerSecond, std::uint64_t seed)
    : m_faults(faults)
    , m_meanPerSecond(meanPerSecond)
{
    for (std::uint32_t service = 0; service < Services; ++service) {
        const Base::PoolName pool{"pool" + std::to_string(service)};
        m_services.push_back({Scheduling::ServiceId{service + 1}, pool, Availability});
        for (std::uint32_t n = 0; n < TargetsPerService; ++n) {
            const std::uint32_t id = service * TargetsPerService + n + 1;
            const Base::AvailabilityZoneName zone{Zones[(n + service) % Zones.size()]};
            m_targets.push_back({Scheduling::TargetId{id},
                                 {"instance" + std::to_string(id)},
                                 pool,
                                 zone,
                                 Slots,
                                 Connections,
                                 false});
        }
    }
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> weight(LeastSpread, MostSpread);
    m_spreads.resize(Length / SpreadPeriod + 1);
    for (auto &spread : m_spreads) {
        for (auto &weights : spread) {
            std::generate(weights.begin(), weights.end(), [&] { return weight(random); });
        }
    }
}

const Faults &Scenario::faults() const
{
    return m_faults;
}

const std::vector<Scheduling::ServiceSpec> &Scenario::services() const
{
    return m_services;
}

const std::vector<Scheduling::TargetSpec> &Scenario::targets() const
{
    return m_targets;
}

// 3, 3 and 2 entry instances in the zones.
Base::AvailabilityZoneName Scenario::zoneOf(std::uint32_t entry) const
{
    return {Zones[entry % Zones.size()]};
}

Scheduling::Member Scenario::memberOf(std::uint32_t entry) const
{
    return {{"entry" + std::to_string(entry)}, zoneOf(entry)};
}

double Scenario::rateOf(std::uint32_t service, Base::Instant now) const
{
    const auto start = Base::instantAt(FirstSurge + TurnLength * service);
    if (now >= start && now < start + SurgeLength) {
        return m_meanPerSecond * SurgeFactor;
    }
    const bool isLull = now >= start + SurgeLength && now < start + SurgeLength + LullLength;
    return m_meanPerSecond * (isLull ? LullFactor : 1);
}

double Scenario::batchRate() const
{
    return m_meanPerSecond * BatchShare;
}

std::uint32_t Scenario::drawEntry(std::uint32_t service, Base::Instant now, std::mt19937_64 &random) const
{
    auto weights = m_spreads[static_cast<std::size_t>(now.time_since_epoch() / SpreadPeriod)][service];
    for (std::uint32_t entry = 0; entry < Entries; ++entry) {
        // The balancer still sends to an instance that went a moment ago.
        const bool isListed = isRunning(entry, now) || isRunning(entry, now - BalancerDelay);
        const bool isStarting = !isRunning(entry, now - BalancerDelay) && entry == Joining;
        weights[entry] = isListed && !isStarting ? weights[entry] : 0;
    }
    return std::discrete_distribution<std::uint32_t>(weights.begin(), weights.end())(random);
}

bool Scenario::isRunning(std::uint32_t entry, Base::Instant now) const
{
    if (m_faults.hasJoin && entry == Joining && now < Base::instantAt(JoinAt)) {
        return false;
    }
    return !(m_faults.hasSilentDeath && entry == Dying && now >= Base::instantAt(DeathAt));
}

bool Scenario::isPaused(std::uint32_t entry, Base::Instant now) const
{
    return m_faults.hasPause && entry == Pausing && now >= Base::instantAt(PauseFrom)
        && now < Base::instantAt(PauseUntil);
}

bool Scenario::isCutOff(const Base::AvailabilityZoneName &a,
                        const Base::AvailabilityZoneName &b,
                        Base::Instant now) const
{
    const bool isPartition = m_faults.hasPartition && now >= Base::instantAt(PartitionFrom)
        && now < Base::instantAt(PartitionUntil);
    return isPartition && a != b && (a.value == Zones.back() || b.value == Zones.back());
}

Scheduling::MembershipEpoch Scenario::epochAt(Base::Instant now) const
{
    Scheduling::MembershipEpoch epoch;
    epoch.number.value = 1;
    const auto changes = epochChanges();
    epoch.number.value += static_cast<std::uint64_t>(
        std::count_if(changes.begin(), changes.end(), [now](Base::Instant it) { return it <= now; }));
    for (std::uint32_t entry = 0; entry < Entries; ++entry) {
        const bool isJoined = !m_faults.hasJoin || entry != Joining || now >= Base::instantAt(JoinAt);
        const bool isListed =
            !m_faults.hasSilentDeath || entry != Dying || now < Base::instantAt(DeathListedAt);
        if (isJoined && isListed) {
            epoch.members.push_back(memberOf(entry));
        }
    }
    return epoch;
}

std::vector<Base::Instant> Scenario::epochChanges() const
{
    std::vector<Base::Instant> changes;
    if (m_faults.hasJoin) {
        changes.push_back(Base::instantAt(JoinAt));
    }
    if (m_faults.hasSilentDeath) {
        changes.push_back(Base::instantAt(DeathListedAt));
    }
    return changes;
}
