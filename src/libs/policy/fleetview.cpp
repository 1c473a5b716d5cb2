#include "fleetview.h"

#include <algorithm>

namespace Policy
{

namespace
{

InstanceView viewOf(const Fleet::InstanceState &instance, const Fleet::InstanceReport *report)
{
    InstanceView view{.state = &instance};
    if (report) {
        view.platform = report->state;
        view.inFlight = report->inFlight;
        view.isEjected = report->isEjected;
    }
    return view;
}

} // namespace

FleetView::FleetView(const Fleet::FleetState &state,
                     const Base::AvailabilityZoneName &zone,
                     std::span<const Fleet::InstanceReport> reports)
{
    for (const auto &[name, instance] : state.instances) {
        if (instance.declared.zone == zone) {
            m_instances.push_back(viewOf(instance, findReport(reports, name)));
        }
    }
    for (const InstanceView &it : m_instances) {
        m_byPool[it.state->pool].push_back(&it);
    }
}

std::span<const InstanceView *const> FleetView::instancesOf(const Base::PoolName &pool) const
{
    const auto it = m_byPool.find(pool);
    if (it == m_byPool.end()) {
        return {};
    }
    return it->second;
}

const InstanceView *FleetView::find(const Base::InstanceName &instance) const
{
    const auto it = std::lower_bound(
        m_instances.begin(),
        m_instances.end(),
        instance,
        [](const InstanceView &view, const Base::InstanceName &name) { return view.name() < name; });
    return it != m_instances.end() && it->name() == instance ? &*it : nullptr;
}

const Fleet::InstanceReport *findReport(std::span<const Fleet::InstanceReport> reports,
                                        const Base::InstanceName &instance)
{
    const auto it = std::lower_bound(reports.begin(),
                                     reports.end(),
                                     instance,
                                     [](const Fleet::InstanceReport &report, const Base::InstanceName &name) {
                                         return report.instance < name;
                                     });
    return it != reports.end() && it->instance == instance ? &*it : nullptr;
}

} // namespace Policy
