#include "routingbuilder.h"

#include <utility>
#include <vector>

namespace Control
{

namespace
{

std::vector<Gateway::RoutedService> routedServices(const Document::Document &document)
{
    std::vector<Gateway::RoutedService> services;
    for (const auto &it : document.services) {
        services.push_back({it.name, it.pool, it.routes, it.priority, it.deadline, it.availability});
    }
    return services;
}

} // namespace

std::shared_ptr<const Gateway::RoutingTable> buildRoutingTable(const Fleet::FleetState &state,
                                                               const std::set<Base::InstanceName> &leaving)
{
    std::vector<Gateway::RoutedTarget> targets;
    for (const auto &[name, it] : state.instances) {
        const bool isServing = it.phase == Fleet::InstancePhase::Serving && !leaving.contains(name);
        targets.push_back({name,
                           it.declared.address,
                           it.declared.port,
                           it.pool,
                           it.declared.zone,
                           it.declared.slots,
                           it.declared.connections,
                           !isServing});
    }
    return std::make_shared<Gateway::RoutingTable>(routedServices(state.document), std::move(targets));
}

} // namespace Control
