#pragma once

#include <claims/claimanswer.h>
#include <claims/claimcoordinator.h>

#include <functional>
#include <variant>

namespace Gateway
{

/// A claimed request may be dispatched, or has its final answer.
using ClaimReply = std::variant<Claims::Grant, Claims::ClaimAnswer>;

/// How the target side claims idempotency keys; called on its thread. Every claim that is taken gets one
/// ClaimReply; a Grant is followed by one finish().
struct ClaimPort {
    /// Returns false when the claim can't be taken now.
    std::function<bool(const Claims::ClaimRequest &)> claim;
    std::function<void(std::uint64_t requestId, Claims::RequestOutcome)> finish;
};

} // namespace Gateway
