#pragma once

#include <chrono>

namespace Base
{

/// Time as one process counts it: monotonic, never compared between machines. Virtual in tests.
using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// The instant `offset` after the epoch; for tests and for histories in virtual time.
constexpr Instant instantAt(Duration offset)
{
    return Instant{offset};
}

} // namespace Base
