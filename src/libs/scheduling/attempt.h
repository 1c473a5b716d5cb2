#pragma once

#include "ids.h"

#include <base/instant.h>
#include <base/verdict.h>
#include <document/document.h>

namespace Scheduling
{

/// A request as received from a caller.
struct Arrival {
    RequestId id;
    ServiceId service;
    Document::Priority priority = Document::Priority::Interactive;
    Base::Instant deadline; ///< the caller needs the answer by then
    bool isIdempotent = false;
};

enum class AttemptOutcome {
    Answered, ///< the answer of the target was received completely
    ConnectFailed, ///< no byte of the request was written
    RefusedByTarget, ///< the target's protocol proves that it did not execute the request
    /// The connection was lost after the first byte was written and before the end of the answer.
    ConnectionLostAfterSend,
    TimedOut, ///< timed out before the answer was complete
};

/// How one attempt ended, as observed on its connection.
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::Answered;
    Base::Duration latency{}; ///< from the dispatch to the end of the attempt
    bool isServerError = false; ///< the target answered with an error of its own
    /// The request's body is still available, and no part of an answer was sent to the caller.
    bool canResend = false;
};

/// Returns whether the request was executed by an attempt with this outcome.
constexpr Base::Verdict verdictOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return Base::Verdict::Ran;
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::RefusedByTarget:
        return Base::Verdict::NotRun;
    case AttemptOutcome::ConnectionLostAfterSend:
    case AttemptOutcome::TimedOut:
        return Base::Verdict::MayHaveRun;
    }
    return Base::Verdict::MayHaveRun;
}

} // namespace Scheduling
