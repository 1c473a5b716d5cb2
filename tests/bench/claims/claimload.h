#pragma once

#include <base/instant.h>

#include <cstddef>
#include <cstdint>

struct LoadSettings {
    std::uint16_t port = 0;
    std::size_t desks = 8;
    std::size_t claimsPerSecond = 200; ///< of all desks together
    std::size_t seconds = 5;
    Base::Duration minAppendInterval{};
    std::size_t answerBytes = 200; ///< stored of each answer
};

/// Offers keyed requests at a steady rate to several desks on one thread, and prints how long they waited for
/// their grant and what processor time that took.
void runClaimLoad(const LoadSettings &settings);
