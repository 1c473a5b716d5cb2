#pragma once

#include "ids.h"

#include <base/names.h>
#include <document/document.h>

#include <cstdint>

namespace Scheduling
{

/// One target as declared in the document in force.
struct TargetSpec {
    TargetId id;
    Base::InstanceName instance;
    Base::PoolName pool;
    Base::AvailabilityZoneName zone;
    std::uint32_t slots = 0; ///< maximum number of concurrent requests, over all entry instances
    std::uint32_t connections = 0; ///< maximum number of open connections, over all entry instances
    bool isDraining = false; ///< gets no new requests

    auto operator<=>(const TargetSpec &) const = default;
};

/// One service and the pool that serves it.
struct ServiceSpec {
    ServiceId id;
    Base::PoolName pool;
    Document::PerMille availability = 0; ///< share of the pool's slots that ejections must leave in service

    auto operator<=>(const ServiceSpec &) const = default;
};

} // namespace Scheduling
