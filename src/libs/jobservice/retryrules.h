#pragma once

#include <base/instant.h>

namespace JobService
{

/// Whether to retry a request that an owner hasn't answered. `remaining` is the time that the caller's
/// deadline leaves. When an owner is killed, cut off or hands its shard over, the next owner is known within
/// a second or two. A caller that is told that its request may have run can't retry by itself.
bool shouldRetryUnanswered(Base::Duration remaining, Base::Duration delay);

/// The same for a request that was refused. A caller with enough time left retries by itself after
/// `retryAfter`. For any other caller a retry here is the last chance: after an outage of some seconds the
/// store may be back at any moment, but a caller that is told to wait beyond its deadline can't make use of
/// that.
bool shouldRetryRefused(Base::Duration remaining, Base::Duration delay, Base::Duration retryAfter);

} // namespace JobService
