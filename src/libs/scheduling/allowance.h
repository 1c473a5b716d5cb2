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

} // namespace Scheduling
