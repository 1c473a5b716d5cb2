#pragma once

#include "ids.h"

#include <base/instant.h>
#include <base/verdict.h>
#include <document/document.h>

namespace Scheduling
{

/// A request as it comes from a caller.
struct Arrival {
    RequestId id;
    ServiceId service;
    Document::Priority priority = Document::Priority::Interactive;
    Base::Instant deadline; ///< the caller wants its answer by then
    bool isIdempotent = false;
};

enum class AttemptOutcome {
    Answered, ///< the whole answer of the target is there
    ConnectFailed, ///< no byte of the request was written
    RefusedByTarget, ///< the target's protocol proves that it did not execute the request
    BrokenAfterSend, ///< the connection ended between the first byte written and the end of the answer
    TimedOut, ///< given up while the target was silent or not done
};

/// How one attempt ended, as its connection saw it.
struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::Answered;
    Base::Duration latency{}; ///< from the dispatch to the end of the attempt
    bool isServerError = false; ///< of an answer: the target says that it failed
    bool canResend =
        false; ///< the request's body is still there, and no part of an answer has reached the caller
};

/// What an attempt that ended this way says about execution.
constexpr Base::Verdict verdictOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return Base::Verdict::Ran;
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::RefusedByTarget:
        return Base::Verdict::NotRun;
    case AttemptOutcome::BrokenAfterSend:
    case AttemptOutcome::TimedOut:
        return Base::Verdict::MayHaveRun;
    }
    return Base::Verdict::MayHaveRun;
}

} // namespace Scheduling
