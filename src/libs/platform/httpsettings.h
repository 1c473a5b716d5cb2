#pragma once

#include <base/instant.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Platform
{

/// Where the platform is and how patiently it is spoken to.
struct HttpSettings {
    std::string host = "127.0.0.1"; ///< an IP number
    std::uint16_t port = 0;
    Base::Duration connectTimeout = std::chrono::seconds(1);
    Base::Duration requestTimeout = std::chrono::seconds(2); ///< on top of a long poll's own wait
    std::size_t pipelinedConnections = 2; ///< shared by all requests but long polls
    std::size_t maxQueuedRequests = 256; ///< on one connection; more are refused as unavailable
    std::size_t maxAnswerBytes = 32ULL * 1024 * 1024;
};

} // namespace Platform
