#include "repetition.h"

#include <chrono>

namespace JobService
{

namespace
{

// An attempt with less time than this is unlikely to succeed: forwarding to the owner and storing a record
// take a tenth of a second when the store is slow.
constexpr Base::Duration LeastAttempt = std::chrono::milliseconds{200};

} // namespace

bool repeatsUnanswered(Base::Duration left, Base::Duration pause)
{
    return left > pause + LeastAttempt;
}

// Retry-After is sent to callers in whole seconds (RFC 9110, section 10.2.3).
bool repeatsRefused(Base::Duration left, Base::Duration pause, Base::Duration retryAfter)
{
    const Base::Duration told = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    return left > pause + LeastAttempt && left < told + LeastAttempt;
}

} // namespace JobService
