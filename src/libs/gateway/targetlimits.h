#pragma once

#include <base/instant.h>

#include <cstddef>
#include <cstdint>

namespace Gateway
{

/// Size limits and timeouts for the connections to targets.
struct TargetLimits {
    Base::Duration connectTimeout = std::chrono::milliseconds{500};
    Base::Duration progressTimeout = std::chrono::seconds{5}; ///< without progress by the target
    Base::Duration idleTimeout = std::chrono::seconds{30}; ///< for a pooled connection

    /// A non-idempotent request reuses a pooled connection only if its latest response was completed within
    /// this time.
    Base::Duration nonIdempotentReuseAge = std::chrono::seconds{2};

    std::uint32_t headerBytes = 65536; ///< of a response
    std::size_t resendBytes = 65536; ///< of a request body buffered for another attempt
    std::size_t resendTotalBytes = 256U << 20U; ///< of all such bodies together
    std::size_t storedAnswerBytes = 1024; ///< of a response stored for repeats with the same idempotency key
    std::uint32_t traceSamplePerMille = 0; ///< of the traces started by this instance
};

} // namespace Gateway
