#pragma once

#include "ids.h"

#include <base/instant.h>
#include <base/verdict.h>

#include <cstdint>
#include <string_view>
#include <variant>

namespace Scheduling
{

/// Send the request to the target now. The attempt has to be reported by attemptEnded(), at the latest at
/// `giveUpAt` as TimedOut; its slot is taken until then.
struct Dispatch {
    RequestId request;
    TargetId target;
    std::uint32_t attempt = 1; ///< counted from 1
    Base::Instant giveUpAt;

    bool operator==(const Dispatch &) const = default;
};

enum class RefusalReason {
    UnknownService,
    NoTarget, ///< no target of the pool is in service
    QueueFull,
    DeadlineUnmeetable, ///< the answer can't be there by the deadline, by what was learned
    DeadlinePassed,
    AttemptFailed, ///< the attempt failed and another one is not allowed or not possible
    RequestAtFault, ///< failed on several targets that serve other requests well
    Cancelled, ///< the caller hung up; for logs and traces
};

/// The final outcome of a request that gets no answer of a target.
struct Refuse {
    RequestId request;
    RefusalReason reason = RefusalReason::QueueFull;
    Base::Verdict verdict = Base::Verdict::NotRun; ///< the worst over all attempts
    Base::Duration retryAfter{}; ///< zero: no advice

    bool operator==(const Refuse &) const = default;
};

/// The final outcome of a request that was answered: pass on the answer of the attempt that just ended.
struct Deliver {
    RequestId request;

    bool operator==(const Deliver &) const = default;
};

using Decision = std::variant<Dispatch, Refuse, Deliver>;

/// The spelling used in headers, log lines and spans, such as "queue-full".
std::string_view toString(RefusalReason reason);

} // namespace Scheduling
