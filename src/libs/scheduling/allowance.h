#pragma once

#include <base/instant.h>

#include <cstdint>

namespace Scheduling
{

/// The slots of one target that one entry instance may use.
struct Allowance {
    std::uint32_t slots = 0; ///< own slots, which don't expire
    std::uint32_t borrowed = 0; ///< only for requests that end by `borrowedUntil`
    Base::Instant borrowedUntil;

    bool operator==(const Allowance &) const = default;
};

/// The attempts of one entry instance that are in flight on one target.
struct TargetUse {
    std::uint32_t inFlight = 0;
    std::uint32_t beyondLoan = 0; ///< those that may end after the borrowed slots expire

    bool operator==(const TargetUse &) const = default;
};

} // namespace Scheduling
