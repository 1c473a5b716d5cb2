#pragma once

#include <base/instant.h>

#include <cstdint>

namespace Scheduling
{

/// The slots of one target that one entry instance may use.
struct Allowance {
    std::uint32_t slots = 0; ///< its own
    std::uint32_t borrowed = 0; ///< only for requests that end by `borrowedUntil`
    Base::Instant borrowedUntil;

    bool operator==(const Allowance &) const = default;
};

/// Attempts of one entry instance on one target that have not ended.
struct TargetUse {
    std::uint32_t inFlight = 0;
    std::uint32_t unbounded = 0; ///< of them those that may outlast borrowed slots

    bool operator==(const TargetUse &) const = default;
};

} // namespace Scheduling
