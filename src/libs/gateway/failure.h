#pragma once

#include <base/instant.h>
#include <base/verdict.h>

#include <optional>
#include <string>

namespace Gateway
{

/// Describes to the caller why its request got no response from a target.
struct Failure {
    unsigned status = 502; ///< HTTP status code
    Base::Verdict verdict = Base::Verdict::NotRun;
    std::string reason; ///< hyphenated identifier, for logs and callers
    std::optional<Base::Duration> retryAfter;
};

} // namespace Gateway
