#pragma once

#include "loadgenerator.h"

#include <gateway/routingtable.h>

#include <memory>
#include <span>

namespace Bench
{

/// A request plane that runs in this process.
class Plane
{
public:
    Plane() = default;
    Plane(const Plane &) = delete;
    Plane &operator=(const Plane &) = delete;
    virtual ~Plane() = default;

    virtual Address address() const = 0;
};

/// The path that the planes route.
inline constexpr const char *RoutedPath = "/preview";

/// One service on all targets, with slots for every request there can be.
std::shared_ptr<const Gateway::RoutingTable> routingTo(std::span<const Address> targets);

/// The same threads without a policy.
std::unique_ptr<Plane> naivePlane(std::span<const Address> targets);

/// As the daemon has it, with telemetry.
std::unique_ptr<Plane> scheduledPlane(std::span<const Address> targets);

} // namespace Bench
