#pragma once

#include <base/instant.h>
#include <base/verdict.h>

#include <optional>
#include <string>

namespace Gateway
{

/// Why a request ends without a target's answer, as the caller is told.
struct Failure {
    unsigned status = 502; ///< HTTP
    Base::Verdict verdict = Base::Verdict::NotRun;
    std::string reason; ///< one word with hyphens, for logs and callers
    std::optional<Base::Duration> retryAfter;
};

} // namespace Gateway
