#pragma once

#include <fleet/fleetstate.h>
#include <fleet/record.h>
#include <policy/planner.h>

#include <span>
#include <string_view>

/// Layout of a synthetic fleet: every zone has all pools, each pool has a service of the same name, and
/// instances are distributed round-robin over the zone's racks.
struct FleetShape {
    std::size_t zones = 1;
    std::size_t pools = 2;
    std::size_t instancesPerPool = 12; ///< in each zone
    std::size_t racks = 4; ///< in each zone
    std::uint32_t slots = 8;
    Document::PerMille availability = 0;
    Document::PerMille zoneAvailability = 500;
    bool hasSpare = false; ///< the last pool is the spare pool
    std::size_t spareExtra = 0; ///< additional instances of the last pool in each zone
};

Document::Document makeDocument(const FleetShape &shape);

Base::AvailabilityZoneName zoneName(std::size_t n);
Base::PoolName poolName(std::size_t n);

/// A FleetState with a simplified implementation of its events, sufficient to test the planners.
class FleetModel
{
public:
    explicit FleetModel(const FleetShape &shape, std::size_t members = 2);

    Fleet::FleetState state;
    Fleet::Observations observations;
    Policy::PlannerIdentity identity;
    Policy::PlannerMemory memory;

    void apply(const Fleet::Event &event);
    /// Lets every member acknowledge every open drain.
    void acknowledgeDrains();
    /// Runs one pass at `seconds`, keeps the memory and applies the decisions.
    Policy::PlanResult pass(double seconds);
    Fleet::InstanceReport &report(const Base::InstanceName &instance);
    Fleet::InstanceState &instance(std::string_view name);

private:
    void end(const Fleet::ActionId &id, Fleet::InstancePhase phase, bool isSuccessful);
};

template<typename EventType>
std::size_t countOf(std::span<const Policy::Decision> decisions)
{
    std::size_t n = 0;
    for (const Policy::Decision &it : decisions) {
        n += std::holds_alternative<EventType>(it.event) ? 1 : 0;
    }
    return n;
}
