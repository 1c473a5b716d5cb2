#include "fleetupdate.h"

#include <algorithm>

namespace Scheduling
{

FleetUpdate::FleetUpdate(PoolTable &pools, TargetTable &targets, OutlierDetector &detector)
    : m_poolTable(pools)
    , m_targets(targets)
    , m_detector(detector)
{
}

void FleetUpdate::apply(std::span<const ServiceSpec> services, std::span<const TargetSpec> targets)
{
    m_poolTable.setServices(services);
    setTargets(targets);
    setRequiredShares();
    recyclePools();
}

void FleetUpdate::setTargets(std::span<const TargetSpec> targets)
{
    for (const TargetSpec &spec : targets) {
        const PoolIndex pool = m_poolTable.findOrAddPool(spec.pool);
        const auto known = m_targets.find(spec.id);
        const bool isReplaced = known && !m_targets.at(*known).isRetired
            && (m_targets.at(*known).pool != pool || m_targets.at(*known).spec.instance != spec.instance);
        if (isReplaced) {
            m_detector.remove(*known);
        }
        const auto updateResult = m_targets.addOrUpdate(spec, pool);
        if (updateResult.isNew) {
            m_detector.add(updateResult.index);
        }
    }
    for (const TargetIndex index : m_targets.retireUnlisted()) {
        m_detector.remove(index);
    }
}

void FleetUpdate::setRequiredShares()
{
    for (PoolIndex index = 0; index < m_poolTable.pools().size(); ++index) {
        Document::PerMille required = 0;
        for (const ServiceIndex service : m_poolTable.pools()[index].services) {
            required = std::max(required, m_poolTable.services()[service].spec.availability);
        }
        m_detector.setRequired(index, required);
    }
}

void FleetUpdate::recyclePools()
{
    for (PoolIndex index = 0; index < m_poolTable.pools().size(); ++index) {
        const PoolState &pool = m_poolTable.pools()[index];
        const bool isBusy =
            std::any_of(pool.busy.begin(), pool.busy.end(), [](std::uint32_t it) { return it > 0; });
        const bool isUsed = !pool.services.empty() || m_targets.capacity(index).targets > 0;
        if (!pool.name.isEmpty() && !isUsed && !isBusy && pool.retries.isEmpty()) {
            m_poolTable.recycle(index);
        }
    }
}

} // namespace Scheduling
