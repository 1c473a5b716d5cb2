#pragma once

#include <fleet/fleetstate.h>
#include <gateway/routingtable.h>

#include <memory>
#include <set>

namespace Control
{

/// What the request plane has to know of a zone's state. Instances that the platform lists as leaving or gone
/// get no new work, as those that the record has draining, rebooting or failed.
std::shared_ptr<const Gateway::RoutingTable> buildRouting(const Fleet::FleetState &state,
                                                          const std::set<Base::InstanceName> &leaving);

} // namespace Control
