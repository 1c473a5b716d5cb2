#pragma once

#include "ids.h"

#include <base/instant.h>
#include <base/verdict.h>

#include <cstdint>
#include <string_view>
#include <variant>

namespace Scheduling
{

/// Send the request to the target now. The end of the attempt must be reported with attemptEnded(), at the
/// latest at `attemptDeadline` as TimedOut. Its slot is in use until then.
struct Dispatch {
    RequestId request;
    TargetId target;
    std::uint32_t attempt = 1; ///< starts at 1
    Base::Instant attemptDeadline;

    bool operator==(const Dispatch &) const = default;
};

enum class RefusalReason {
    UnknownService,
    NoTarget, ///< no target of the pool is in service
    QueueFull,
    DeadlineUnmeetable, ///< according to the estimates, the deadline can't be met
    DeadlinePassed,
    AttemptFailed, ///< the attempt failed and can't be retried
    RequestAtFault, ///< failed on several healthy targets
    Cancelled, ///< the caller disconnected; only for logs and traces
};

/// The final outcome of a request for which there is no answer to deliver.
struct Refuse {
    RequestId request;
    RefusalReason reason = RefusalReason::QueueFull;
    Base::Verdict verdict = Base::Verdict::NotRun; ///< the worst of all attempts
    Base::Duration retryAfter{}; ///< none if zero

    bool operator==(const Refuse &) const = default;
};

/// The final outcome of a request that was answered. Deliver the answer of the attempt that just ended.
struct Deliver {
    RequestId request;

    bool operator==(const Deliver &) const = default;
};

using Decision = std::variant<Dispatch, Refuse, Deliver>;

/// Returns the name used in headers, log lines and spans, such as "queue-full".
std::string_view toString(RefusalReason reason);

} // namespace Scheduling
