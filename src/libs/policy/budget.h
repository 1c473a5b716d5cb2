#pragma once

#include <fleet/fleetstate.h>
#include <fleet/observations.h>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Policy
{

/// Slots of a pool, summed over instances; below zero only as a difference.
using Slots = std::int64_t;

/// Whether a planned stop may happen, with the numbers that decided it.
struct BudgetAnswer {
    bool isAllowed = true;
    std::string reason;
};

/// The slots that a pool must keep, the strictest over its services.
struct Requirement {
    Base::ServiceName zoneService; ///< asks for zoneAvailability
    Document::PerMille zoneAvailability = 0;
    Base::ServiceName service; ///< asks for availability
    Document::PerMille availability = 0;
    bool survivesZoneLoss = false;
};

/// How many slots an availability leaves at least, rounded up.
Slots floorOf(Slots declared, Document::PerMille availability);

/// The availability budgets of all services as seen from one availability zone.
///
/// A stop is allowed if with it every service of the pool keeps its availability after the loss of its
/// largest remaining failure domain. What is unavailable for any other reason has been spent before. Slots
/// are counted against those that the document declares for the pool, wherever instances have moved since.
class Budget
{
public:
    /// `reports` are sorted by instance. Nothing is kept of the arguments.
    Budget(const Fleet::FleetState &state,
           Base::AvailabilityZoneName zone,
           std::span<const Fleet::InstanceReport> reports);

    /// May the instance, which is of this zone, be stopped or leave its pool? Refused for one that isn't
    /// known.
    BudgetAnswer mayStop(const Base::InstanceName &instance) const;
    /// Counts the instance as stopped in later answers.
    void stop(const Base::InstanceName &instance);
    /// Does the pool meet its requirement as it is, after the loss of its largest failure domain?
    BudgetAnswer holds(const Base::PoolName &pool) const;

    /// Slots available in the zone's rack for the pool.
    Slots availableInRack(const Base::PoolName &pool, const Base::RackName &rack) const;
    /// Slots available in the zone for the pool.
    Slots availableInZone(const Base::PoolName &pool) const;

private:
    struct InstanceEntry {
        Base::PoolName pool;
        Base::RackName rack;
        Slots availableSlots = 0;
    };

    struct PoolEntry {
        Requirement requirement;
        std::map<Base::RackName, Slots> racks; ///< available, in this zone
        std::map<Base::AvailabilityZoneName, Slots> zones; ///< available
        Slots largestRackElsewhere = 0; ///< available, in other zones
        Slots declared = 0;
        Slots declaredInZone = 0;
        Slots mostMissingInZone = 0; ///< this zone's share of the budget over all zones
    };

    struct RackKey {
        Base::PoolName pool;
        Base::AvailabilityZoneName zone;
        Base::RackName rack;

        auto operator<=>(const RackKey &) const = default;
    };

    struct DeclaredZone;
    struct Declared;

    void addServices(const Document::Document &document);
    void addDeclared(const Fleet::FleetState &state);
    void addAvailable(const Fleet::FleetState &state, std::span<const Fleet::InstanceReport> reports);
    Slots shareOf(const PoolEntry &entry, const Declared &declared) const;
    Slots dealtShare(const Declared &declared, Slots spendable) const;
    BudgetAnswer check(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const;
    BudgetAnswer checkZone(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const;
    BudgetAnswer checkShare(const PoolEntry &entry, Slots stopped) const;
    BudgetAnswer checkOverall(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const;

    Base::AvailabilityZoneName m_zone;
    std::map<Base::PoolName, PoolEntry> m_pools;
    std::map<Base::InstanceName, InstanceEntry> m_instances; ///< of this zone
};

} // namespace Policy
