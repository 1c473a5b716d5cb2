#pragma once

#include <base/instant.h>
#include <base/verdict.h>

#include <cstdint>
#include <string>

namespace Claims
{

/// The reason why a request with an idempotency key is answered without being dispatched.
enum class AnswerKind {
    StoredAnswer, ///< the request ran; its stored answer is returned
    AnswerNotKept, ///< the request ran and was answered, but the answer was too large to store
    InProgressElsewhere, ///< another request with this key is in progress
    OutcomeUnknown, ///< the request may have run; its outcome can no longer be determined
    KeyReused, ///< the key was used for a different request: the fingerprints differ
    RefusedNotRun, ///< the key could not be claimed, or not before the deadline
};

/// The verdict on the request that gets the answer. NotRun applies to that request only: an earlier request
/// with the same key has its own verdict. Callers combine the verdicts with Base::worstOf().
Base::Verdict verdictOf(AnswerKind kind);

/// Returns 409, 422 or 503; draft-ietf-httpapi-idempotency-key-header specifies the first two. A stored
/// answer keeps its own status.
std::uint16_t httpStatusOf(AnswerKind kind);

/// The final answer to one request that is not dispatched.
struct ClaimAnswer {
    std::uint64_t requestId = 0;
    AnswerKind kind = AnswerKind::RefusedNotRun;
    std::uint16_t status = 0; ///< HTTP status
    std::string storedAnswer;
    Base::Duration retryAfter{}; ///< zero: repeating the request does not help
};

} // namespace Claims
