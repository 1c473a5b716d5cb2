#pragma once

#include <base/instant.h>

#include <cstddef>
#include <cstdint>

struct LoadSettings {
    std::uint16_t port = 0;
    std::size_t desks = 8;
    std::size_t claimsPerSecond = 200; ///< over all members
    std::size_t seconds = 5;
    Base::Duration minAppendInterval{};
    std::size_t answerBytes = 200; ///< size of each stored answer
};

/// Offers requests with idempotency keys at a constant rate to several members on one thread, and prints the
/// grant latencies and the CPU time used.
void runClaimLoad(const LoadSettings &settings);
