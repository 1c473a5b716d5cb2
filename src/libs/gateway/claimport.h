#pragma once

#include <claims/claimanswer.h>
#include <claims/claimcoordinator.h>

#include <functional>
#include <variant>

namespace Gateway
{

/// The reply to a claim: a grant to dispatch the request, or the final answer to it.
using ClaimReply = std::variant<Claims::Grant, Claims::ClaimAnswer>;

/// Functions with which the target side claims idempotency keys, called on its thread. Each accepted claim
/// gets exactly one ClaimReply. Each Grant must be followed by exactly one call of finish().
struct ClaimPort {
    /// Returns false if the claim cannot be accepted now.
    std::function<bool(const Claims::ClaimRequest &)> claim;
    std::function<void(std::uint64_t requestId, Claims::RequestOutcome)> finish;
};

} // namespace Gateway
