#pragma once

#include <base/instant.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Gateway
{

/// What callers may ask of an entry instance, and how long it waits for them.
struct CallerLimits {
    std::string address = "127.0.0.1"; ///< IP number to listen on
    std::uint16_t port = 0; ///< 0: any free one
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    Base::Duration headerTimeout =
        std::chrono::seconds{5}; ///< from a request's first byte to the end of its header
    Base::Duration bodyTimeout = std::chrono::seconds{10}; ///< for each piece of a body, in both directions
    Base::Duration idleTimeout = std::chrono::seconds{60}; ///< between two requests of a connection
    Base::Duration drainNotice = std::chrono::seconds{2}; ///< from readiness off to the end of accepting
    std::size_t connections = 4096;
    std::size_t inFlight = 2048; ///< exchanges at once
};

} // namespace Gateway
