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

/// Number of slots, summed over instances. Only differences may be negative.
using Slots = std::int64_t;

/// Result of a budget check; the reason states the numbers it is based on.
struct BudgetCheck {
    bool isAllowed = true;
    std::string reason;
};

/// The strictest availability requirements over the services of a pool.
struct Requirement {
    Base::ServiceName zoneService; ///< the service that requires zoneAvailability
    Document::PerMille zoneAvailability = 0;
    Base::ServiceName service; ///< the service that requires availability
    Document::PerMille availability = 0;
    bool survivesZoneLoss = false;
};

/// Minimum number of slots for the availability, rounded up.
Slots requiredSlots(Slots declared, Document::PerMille availability);

/// The availability budgets of all services, computed for one availability zone.
///
/// An instance may be stopped if every service of its pool still keeps its availability after the additional
/// loss of the largest remaining failure domain. Instances that are unavailable for any other reason have
/// already used up part of the budget. Available slots are compared with those that the document declares for
/// the pool, even if instances have since moved to other pools.
class Budget
{
public:
    /// `reports` are sorted by instance. The arguments need not outlive the constructor.
    Budget(const Fleet::FleetState &state,
           Base::AvailabilityZoneName zone,
           std::span<const Fleet::InstanceReport> reports);

    /// Checks whether the instance may be stopped or removed from its pool. Refused for an instance that is
    /// unknown or not in this zone.
    BudgetCheck checkStop(const Base::InstanceName &instance) const;
    /// Counts the instance as stopped in later checks.
    void markStopped(const Base::InstanceName &instance);
    /// Checks whether the pool currently meets its requirement after the loss of its largest failure domain.
    BudgetCheck checkPool(const Base::PoolName &pool) const;

    /// The pool's available slots in one rack of this zone.
    Slots availableInRack(const Base::PoolName &pool, const Base::RackName &rack) const;
    /// The pool's available slots in this zone.
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
        Slots maxUnavailableInZone = 0; ///< this zone's share of the fleet-wide budget
    };

    struct RackKey {
        Base::PoolName pool;
        Base::AvailabilityZoneName zone;
        Base::RackName rack;

        auto operator<=>(const RackKey &) const = default;
    };

    struct DeclaredZone;
    struct DeclaredPool;

    void addServices(const Document::Document &document);
    void addDeclared(const Fleet::FleetState &state);
    void addAvailable(const Fleet::FleetState &state, std::span<const Fleet::InstanceReport> reports);
    Slots budgetShare(const PoolEntry &entry, const DeclaredPool &declared) const;
    Slots allocatedShare(const DeclaredPool &declared, Slots spendable) const;
    BudgetCheck check(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const;
    BudgetCheck checkZone(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const;
    BudgetCheck checkShare(const PoolEntry &entry, Slots stopped) const;
    BudgetCheck checkOverall(const PoolEntry &entry, const Base::RackName &rack, Slots stopped) const;

    Base::AvailabilityZoneName m_zone;
    std::map<Base::PoolName, PoolEntry> m_pools;
    std::map<Base::InstanceName, InstanceEntry> m_instances; ///< of this zone
};

} // namespace Policy
