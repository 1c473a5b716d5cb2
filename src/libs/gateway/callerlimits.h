#pragma once

#include <base/instant.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Gateway
{

/// Size limits, concurrency limits and timeouts for the connections from callers.
struct CallerLimits {
    std::string address = "127.0.0.1"; ///< numeric IP address to listen on
    std::uint16_t port = 0; ///< 0 selects any free port
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 16ULL * 1024 * 1024;
    Base::Duration headerTimeout =
        std::chrono::seconds{5}; ///< from a request's first byte to the end of its header
    Base::Duration bodyTimeout = std::chrono::seconds{10}; ///< for each chunk of a body, in both directions
    Base::Duration idleTimeout = std::chrono::seconds{60}; ///< between two requests on a connection
    Base::Duration drainNotice = std::chrono::seconds{2}; ///< from the end of readiness until listening stops
    std::size_t connections = 4096;
    std::size_t receivedBytes = 256U << 20U; ///< held for requests that aren't whole, over all connections
    std::size_t inFlight = 2048; ///< maximum number of concurrent exchanges
};

} // namespace Gateway
