#pragma once

#include <base/instant.h>

namespace JobService
{

/// Whether an attempt that an owner hasn't answered is followed by another one; `left` is what the caller's
/// time still allows. Answers owners that are killed, cut off or hand their shard over while callers wait:
/// the next owner is known within a second or two, and a caller that is told that its request may have run
/// can't try again.
bool repeatsUnanswered(Base::Duration left, Base::Duration pause);

/// The same for an attempt that was refused. A caller that has the time comes back by itself after
/// `retryAfter`; for one that hasn't, another attempt here is the last chance. Answers a store that is away
/// for some seconds: it may be back at any moment, but not for a caller that was sent away for longer than it
/// can wait.
bool repeatsRefused(Base::Duration left, Base::Duration pause, Base::Duration retryAfter);

} // namespace JobService
