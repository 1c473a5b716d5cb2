#include "outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace Scheduling
{

namespace
{

constexpr double SmoothingFactor = 1.0 / 32;
constexpr double MinHealthyRate = 0.5;
constexpr std::uint32_t PerMilleScale = 1000;

// Lower bound of the peers' assumed failure rate: even in a pool that hardly ever fails, a target may have a
// short disturbance that doesn't make it an outlier.
constexpr double MinFailureRate = 0.01;

} // namespace

OutlierDetector::OutlierDetector(const OutlierLimits &limits, TargetTable &targets)
    : m_limits(limits)
    , m_targets(targets)
{
}

void OutlierDetector::add(TargetIndex index)
{
    if (index >= m_health.size()) {
        m_health.resize(index + 1);
    }
    const PoolIndex pool = m_targets.at(index).pool;
    if (pool >= m_pools.size()) {
        m_pools.resize(pool + 1);
    }
    m_health[index] = {};
    joinPeers(index);
}

void OutlierDetector::remove(TargetIndex index)
{
    setStatus(index, TargetStatus::InService);
    leavePeers(index);
}

void OutlierDetector::setRequired(PoolIndex pool, Document::PerMille share)
{
    if (pool >= m_pools.size()) {
        m_pools.resize(pool + 1);
    }
    m_pools[pool].required = share;
    const auto waiting = [&]() -> std::vector<TargetIndex> & {
        return m_pools[pool].ejected.empty() ? m_pools[pool].probing : m_pools[pool].ejected;
    };
    while (m_targets.capacity(pool).inServiceSlots < requiredSlots(pool) && !waiting().empty()) {
        returnToService(waiting().front(), TargetStatus::Suspect, {});
    }
}

void OutlierDetector::addSuccess(TargetIndex index, Base::Instant now)
{
    Health &health = m_health[index];
    health.consecutiveFailures = 0;
    switch (m_targets.at(index).status) {
    case TargetStatus::Ejected:
        return;
    case TargetStatus::Probing:
        if (++health.probesAnswered >= m_limits.probesToReturn) {
            returnToService(index, TargetStatus::InService, now);
        }
        return;
    case TargetStatus::InService:
        addOutcome(index, true);
        return;
    case TargetStatus::Suspect:
        addOutcome(index, true);
        if (!isOutlier(index)) {
            setStatus(index, TargetStatus::InService);
        }
        return;
    }
}

// Failures of attempts that end after the ejection are ignored. A failed probe ejects the target again.
void OutlierDetector::addFailure(TargetIndex index, Base::Instant now)
{
    ++m_health[index].consecutiveFailures;
    switch (m_targets.at(index).status) {
    case TargetStatus::Ejected:
        return;
    case TargetStatus::Probing:
        eject(index, now);
        return;
    case TargetStatus::InService:
    case TargetStatus::Suspect:
        addOutcome(index, false);
        if (!isOutlier(index)) {
            return;
        }
        if (canEject(index)) {
            eject(index, now);
        } else {
            setStatus(index, TargetStatus::Suspect);
        }
        return;
    }
}

bool OutlierDetector::advance(Base::Instant now)
{
    bool isChanged = false;
    for (Pool &pool : m_pools) {
        const auto due = [&](TargetIndex index) {
            return m_health[index].ejectedUntil <= now;
        };
        auto it = std::find_if(pool.ejected.begin(), pool.ejected.end(), due);
        while (it != pool.ejected.end()) {
            const TargetIndex index = *it;
            m_health[index].probingSince = now;
            m_health[index].probesAnswered = 0;
            setStatus(index, TargetStatus::Probing);
            isChanged = true;
            it = std::find_if(pool.ejected.begin(), pool.ejected.end(), due);
        }
    }
    return isChanged;
}

std::optional<Base::Instant> OutlierDetector::nextDue(Base::Instant now) const
{
    std::optional<Base::Instant> earliest;
    const auto consider = [&](Base::Instant when) {
        earliest = earliest ? std::min(*earliest, when) : when;
    };
    for (const Pool &pool : m_pools) {
        for (const TargetIndex index : pool.ejected) {
            consider(m_health[index].ejectedUntil);
        }
        for (const TargetIndex index : pool.probing) {
            const Base::Instant delayEnd = m_health[index].probingSince + m_limits.nonIdempotentProbeDelay;
            if (delayEnd > now) {
                consider(delayEnd);
            }
        }
    }
    return earliest;
}

std::optional<TargetIndex>
OutlierDetector::probeFor(PoolIndex pool, bool isIdempotent, Base::Instant now) const
{
    if (!hasProbing(pool)) {
        return std::nullopt;
    }
    const auto &probing = m_pools[pool].probing;
    const auto it = std::find_if(probing.begin(), probing.end(), [&](TargetIndex index) {
        const Target &target = m_targets.at(index);
        const bool isDelayOver = m_health[index].probingSince + m_limits.nonIdempotentProbeDelay <= now;
        return target.inFlight == 0 && target.limit() > 0 && (isIdempotent || isDelayOver);
    });
    return it == probing.end() ? std::nullopt : std::optional{*it};
}

bool OutlierDetector::hasProbing(PoolIndex pool) const
{
    return pool < m_pools.size() && !m_pools[pool].probing.empty();
}

bool OutlierDetector::isHealthy(TargetIndex index) const
{
    return m_targets.at(index).status == TargetStatus::InService
        && m_health[index].successRate >= MinHealthyRate && !isOutlier(index);
}

std::uint32_t OutlierDetector::ejectedTargets(PoolIndex pool) const
{
    if (pool >= m_pools.size()) {
        return 0;
    }
    return static_cast<std::uint32_t>(m_pools[pool].ejected.size() + m_pools[pool].probing.size());
}

std::uint32_t OutlierDetector::suspectTargets(PoolIndex pool) const
{
    return pool < m_pools.size() ? m_pools[pool].suspects : 0;
}

std::uint64_t OutlierDetector::ejections() const
{
    return m_ejections;
}

OutlierDetector::Pool &OutlierDetector::poolOf(TargetIndex index)
{
    return m_pools[m_targets.at(index).pool];
}

const OutlierDetector::Pool &OutlierDetector::poolOf(TargetIndex index) const
{
    return m_pools[m_targets.at(index).pool];
}

void OutlierDetector::addOutcome(TargetIndex index, bool isSuccess)
{
    Health &health = m_health[index];
    const double change = SmoothingFactor * ((isSuccess ? 1.0 : 0.0) - health.successRate);
    health.successRate += change;
    ++health.outcomes;
    if (health.isPeer) {
        poolOf(index).successRates += change;
    }
}

std::optional<double> OutlierDetector::peerSuccessRate(TargetIndex index) const
{
    const Health &health = m_health[index];
    const Pool &pool = poolOf(index);
    if (!health.isPeer || pool.peers < 2) {
        return std::nullopt;
    }
    return std::clamp((pool.successRates - health.successRate) / (pool.peers - 1), 0.0, 1.0);
}

// A run of consecutive failures makes an outlier if it would be improbable at the peers' failure rate. In a
// full outage, or with many faulty requests, the peers fail as well and no target is ejected.
bool OutlierDetector::isOutlier(TargetIndex index) const
{
    const Health &health = m_health[index];
    const auto peerRate = peerSuccessRate(index);
    if (!peerRate) {
        return false;
    }
    if (health.consecutiveFailures >= m_limits.consecutiveFailures) {
        const double failureRate = std::max(MinFailureRate, 1 - *peerRate);
        if (std::pow(failureRate, health.consecutiveFailures) < m_limits.outlierProbability) {
            return true;
        }
    }
    return health.outcomes >= m_limits.minOutcomes
        && health.successRate < *peerRate - m_limits.successRateMargin;
}

bool OutlierDetector::canEject(TargetIndex index) const
{
    const Target &target = m_targets.at(index);
    const std::uint32_t inService = m_targets.capacity(target.pool).inServiceSlots;
    return target.isInService() && inService >= target.spec.slots + requiredSlots(target.pool);
}

void OutlierDetector::eject(TargetIndex index, Base::Instant now)
{
    Health &health = m_health[index];
    const bool isLevelExpired = now - health.returnedAt > m_limits.ejectionLevelRetention;
    const bool isProbe = m_targets.at(index).status == TargetStatus::Probing;
    health.ejectionLevel = isLevelExpired && !isProbe ? 0 : health.ejectionLevel;
    Base::Duration ejection = m_limits.baseEjection;
    for (std::uint32_t n = 0; n < health.ejectionLevel && ejection < m_limits.maxEjection; ++n) {
        ejection *= 2;
    }
    ++health.ejectionLevel;
    health.ejectedUntil = now + std::min(ejection, m_limits.maxEjection);
    leavePeers(index);
    setStatus(index, TargetStatus::Ejected);
    ++m_ejections;
}

// Resets the statistics: with the outcomes from before the ejection, the first failure would eject the target
// again.
void OutlierDetector::returnToService(TargetIndex index, TargetStatus status, Base::Instant now)
{
    Health &health = m_health[index];
    health.successRate = 1;
    health.outcomes = 0;
    health.consecutiveFailures = 0;
    health.returnedAt = now;
    joinPeers(index);
    setStatus(index, status);
}

void OutlierDetector::setStatus(TargetIndex index, TargetStatus status)
{
    Pool &pool = poolOf(index);
    const TargetStatus before = m_targets.at(index).status;
    std::erase(pool.ejected, index);
    std::erase(pool.probing, index);
    pool.suspects -= before == TargetStatus::Suspect ? 1 : 0;
    pool.suspects += status == TargetStatus::Suspect ? 1 : 0;
    if (status == TargetStatus::Ejected) {
        pool.ejected.push_back(index);
    } else if (status == TargetStatus::Probing) {
        pool.probing.push_back(index);
    }
    m_targets.setStatus(index, status);
}

void OutlierDetector::joinPeers(TargetIndex index)
{
    Health &health = m_health[index];
    Pool &pool = poolOf(index);
    if (!health.isPeer) {
        health.isPeer = true;
        ++pool.peers;
        pool.successRates += health.successRate;
    }
}

void OutlierDetector::leavePeers(TargetIndex index)
{
    Health &health = m_health[index];
    Pool &pool = poolOf(index);
    if (health.isPeer) {
        health.isPeer = false;
        --pool.peers;
        pool.successRates -= health.successRate;
    }
}

// At least one slot stays in service, regardless of the configured availability.
std::uint32_t OutlierDetector::requiredSlots(PoolIndex pool) const
{
    const std::uint64_t declared = m_targets.capacity(pool).declaredSlots;
    const std::uint64_t kept = (declared * m_pools[pool].required + PerMilleScale - 1) / PerMilleScale;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, kept));
}

} // namespace Scheduling
