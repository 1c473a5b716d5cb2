#pragma once

#include <fleet/fleetstate.h>
#include <gateway/routingtable.h>

#include <memory>
#include <set>

namespace Control
{

/// Builds the routing table of the request plane from a zone's state. Instances that the platform lists as
/// leaving or gone get no new requests, nor do instances that are draining, rebooting or failed in that
/// state.
std::shared_ptr<const Gateway::RoutingTable> buildRoutingTable(const Fleet::FleetState &state,
                                                               const std::set<Base::InstanceName> &leaving);

} // namespace Control
