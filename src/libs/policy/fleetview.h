#pragma once

#include <fleet/fleetstate.h>
#include <fleet/observations.h>

#include <map>
#include <span>
#include <vector>

namespace Policy
{

/// One instance during a pass: its recorded state and its last report.
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
    /// Healthy and recorded as serving its pool.
    bool isAvailable() const
    {
        return isHealthy() && state->phase == Fleet::InstancePhase::Serving;
    }
};

/// The instances of one availability zone during one pass, by name and by pool.
class FleetView
{
public:
    /// `reports` are sorted by instance; an instance without a report is assumed to be live. `state` and
    /// `reports` must outlive the view.
    FleetView(const Fleet::FleetState &state,
              const Base::AvailabilityZoneName &zone,
              std::span<const Fleet::InstanceReport> reports);

    /// Sorted by name.
    std::span<const InstanceView> instances() const
    {
        return m_instances;
    }
    /// The instances of the pool, sorted by name.
    std::span<const InstanceView *const> instancesOf(const Base::PoolName &pool) const;
    /// Null if the instance isn't in this zone.
    const InstanceView *find(const Base::InstanceName &instance) const;

private:
    std::vector<InstanceView> m_instances;
    std::map<Base::PoolName, std::vector<const InstanceView *>> m_byPool;
};

/// The report on the instance, or null.
const Fleet::InstanceReport *findReport(std::span<const Fleet::InstanceReport> reports,
                                        const Base::InstanceName &instance);

} // namespace Policy
