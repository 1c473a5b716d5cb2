#pragma once

#include <base/names.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Document
{

using Milliseconds = std::chrono::milliseconds;

/// Which requests go first when a service's queue is not empty.
enum class Priority { Interactive, Urgent, Batch };

/// How much of a service must stay available, in parts per thousand of its pool's slots.
using PerMille = std::uint32_t;

/// One target machine: where it listens, its failure domains and its limits.
struct Instance {
    Base::InstanceName name;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    Base::AvailabilityZoneName zone;
    Base::RackName rack;
    std::uint32_t slots = 0; ///< requests executed at once, over all entry instances
    std::uint32_t connections = 0; ///< open connections, over all entry instances
    Base::PoolName pool;

    auto operator<=>(const Instance &) const = default;
};

struct Pool {
    Base::PoolName name;
    bool isSpare = false; ///< lends instances to the others

    auto operator<=>(const Pool &) const = default;
};

/// Requests whose path starts with `pathPrefix` belong to the service; the longest prefix wins.
struct Route {
    std::string pathPrefix;
    bool isIdempotent = false; ///< for methods other than GET, HEAD, PUT, DELETE and OPTIONS too

    auto operator<=>(const Route &) const = default;
};

struct Service {
    Base::ServiceName name;
    Base::PoolName pool;
    std::vector<Route> routes;
    Priority priority = Priority::Interactive;
    Milliseconds deadline{}; ///< for a request that brings none
    PerMille availability = 0; ///< to keep over all zones
    PerMille zoneAvailability = 0; ///< to keep within each zone
    bool survivesZoneLoss = false; ///< availability holds with any one zone lost, not only any one rack

    auto operator<=>(const Service &) const = default;
};

struct Maintenance {
    Milliseconds drainTimeout{};
    std::uint32_t maxConcurrent = 1; ///< instances in maintenance at once, per zone
    std::vector<Base::PoolName> wave; ///< pools to be rebooted, in this order; empty: no wave wanted
    std::uint64_t waveNumber = 0; ///< a new wave starts when this grows

    auto operator<=>(const Maintenance &) const = default;
};

/// What the firm weighs when instances could be moved between pools; each is relative to the others.
struct Weights {
    double buffer = 1;
    double moves = 1;
    double rollOutTime = 1;

    auto operator<=>(const Weights &) const = default;
};

/// All that the operators of one environment declare.
struct Document {
    Base::EnvironmentName environment;
    std::vector<Base::AvailabilityZoneName> zones;
    std::vector<Pool> pools;
    std::vector<Instance> instances;
    std::vector<Service> services;
    Maintenance maintenance;
    Weights weights;

    bool operator==(const Document &) const = default;
};

} // namespace Document
