#pragma once

#include <base/instant.h>
#include <base/verdict.h>

#include <cstdint>
#include <string>

namespace Claims
{

/// Why a keyed request is not dispatched.
enum class AnswerKind {
    StoredAnswer, ///< the key ran, and this was its answer
    AnswerNotKept, ///< the key ran and was answered; the answer was too large to keep
    InProgressElsewhere, ///< another request with this key is under way
    OutcomeUnknown, ///< the key may have run, and nobody will know more
    KeyReused, ///< the key belongs to another request: the fingerprints differ
    RefusedNotRun, ///< no claim could be made in time, or at all
};

/// The verdict on the request that gets the answer. NotRun speaks of that request alone: an earlier one with
/// the same key has its own verdict, and a caller combines them with Base::worstOf().
Base::Verdict verdictOf(AnswerKind kind);

/// 409, 422 or 503; draft-ietf-httpapi-idempotency-key-header has the first two. A stored answer has its own.
std::uint16_t httpStatusOf(AnswerKind kind);

/// The final answer to one request.
struct ClaimAnswer {
    std::uint64_t requestId = 0;
    AnswerKind kind = AnswerKind::RefusedNotRun;
    std::uint16_t status = 0; ///< HTTP status
    std::string storedAnswer;
    Base::Duration retryAfter{}; ///< zero: a repeat is of no use
};

} // namespace Claims
