#pragma once

#include <base/instant.h>

#include <cstddef>
#include <cstdint>

namespace Gateway
{

/// How targets are spoken to.
struct TargetLimits {
    Base::Duration connectTimeout = std::chrono::milliseconds{500};
    Base::Duration progressTimeout = std::chrono::seconds{5}; ///< without a byte while the target has to act
    Base::Duration idleTimeout = std::chrono::seconds{30}; ///< for a pooled connection
    Base::Duration nonIdempotentReuseAge =
        std::chrono::seconds{2}; ///< a non-idempotent request wants a pooled
                                 ///< connection that answered this recently
    std::uint32_t headerBytes = 65536; ///< of a response
    std::size_t resendBytes = 65536; ///< of a request's body kept for another attempt
    std::size_t storedAnswerBytes = 1024; ///< of an answer kept for repeats of its idempotency key
    std::uint32_t traceSamplePerMille = 0; ///< of the traces that begin here
};

} // namespace Gateway
