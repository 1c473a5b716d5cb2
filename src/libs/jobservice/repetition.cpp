#include "repetition.h"

#include <chrono>

namespace JobService
{

namespace
{

// An attempt that is given less has no chance: a hop to the owner and a stored record take a tenth of a
// second when the store is slow.
constexpr Base::Duration LeastAttempt = std::chrono::milliseconds{200};

} // namespace

bool repeatsUnanswered(Base::Duration left, Base::Duration pause)
{
    return left > pause + LeastAttempt;
}

// Callers are told whole seconds (RFC 9110, section 10.2.3).
bool repeatsRefused(Base::Duration left, Base::Duration pause, Base::Duration retryAfter)
{
    const Base::Duration told = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    return left > pause + LeastAttempt && left < told + LeastAttempt;
}

} // namespace JobService
