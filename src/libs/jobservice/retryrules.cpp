#include "retryrules.h"

#include <chrono>

namespace JobService
{

namespace
{

// An attempt with less time than this is unlikely to succeed: forwarding to the owner and storing a record
// take a tenth of a second when the store is slow.
constexpr Base::Duration MinAttemptTime = std::chrono::milliseconds{200};

} // namespace

bool shouldRetryUnanswered(Base::Duration remaining, Base::Duration delay)
{
    return remaining > delay + MinAttemptTime;
}

// Retry-After is sent to callers in whole seconds (RFC 9110, section 10.2.3).
bool shouldRetryRefused(Base::Duration remaining, Base::Duration delay, Base::Duration retryAfter)
{
    const Base::Duration retryAfterSeconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
    return remaining > delay + MinAttemptTime && remaining < retryAfterSeconds + MinAttemptTime;
}

} // namespace JobService
