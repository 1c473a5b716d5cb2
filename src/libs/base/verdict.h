#pragma once

#include <optional>
#include <string_view>

namespace Base
{

/// Says of a request that did not get its answer whether a target may have executed it.
enum class Verdict {
    NotRun, ///< no byte of the request can have reached a target, or the target itself refused it
    MayHaveRun, ///< the request was sent, at least in part, and its outcome is unknown
    Ran, ///< a target is known to have executed the request
};

/// The verdict over several attempts of one request: the one furthest from NotRun.
Verdict worstOf(Verdict a, Verdict b);

/// The spelling used in headers, log lines and spans: "not-run", "may-have-run", "ran".
std::string_view toString(Verdict verdict);

/// The reverse of toString(); nothing for any other text.
std::optional<Verdict> verdictFromString(std::string_view text);

} // namespace Base
