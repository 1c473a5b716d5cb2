#pragma once

#include <fleet/fleetstate.h>
#include <fleet/observations.h>

#include <map>
#include <span>
#include <vector>

namespace Policy
{

/// One instance as a pass sees it: the record and the last report together.
struct InstanceView {
    const Fleet::InstanceState *state = nullptr;
    Fleet::PlatformState platform = Fleet::PlatformState::Live;
    std::uint32_t inFlight = 0;
    bool isEjected = false;

    const Base::InstanceName &name() const
    {
        return state->declared.name;
    }
    /// Live on the platform and not ejected.
    bool isHealthy() const
    {
        return platform == Fleet::PlatformState::Live && !isEjected;
    }
    /// Healthy and, by the record, serving its pool.
    bool isAvailable() const
    {
        return isHealthy() && state->phase == Fleet::InstancePhase::Serving;
    }
};

/// The instances of one availability zone during one pass, by name and by pool.
class FleetView
{
public:
    /// `reports` are sorted by instance; an instance without a report is taken for live. Both arguments
    /// outlive the view.
    FleetView(const Fleet::FleetState &state,
              const Base::AvailabilityZoneName &zone,
              std::span<const Fleet::InstanceReport> reports);

    /// Sorted by name.
    std::span<const InstanceView> instances() const
    {
        return m_instances;
    }
    /// Those that belong to the pool, sorted by name.
    std::span<const InstanceView *const> instancesOf(const Base::PoolName &pool) const;
    /// Null when the instance isn't of this zone.
    const InstanceView *find(const Base::InstanceName &instance) const;

private:
    std::vector<InstanceView> m_instances;
    std::map<Base::PoolName, std::vector<const InstanceView *>> m_byPool;
};

/// The report of the instance; null when there is none.
const Fleet::InstanceReport *findReport(std::span<const Fleet::InstanceReport> reports,
                                        const Base::InstanceName &instance);

} // namespace Policy
