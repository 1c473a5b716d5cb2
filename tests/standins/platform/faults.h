#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace PlatformStandin
{

/// What goes wrong on request; each field is a key of POST /control/faults, which sets all of them.
struct Faults {
    std::uint32_t slowMs = 0; ///< slow_ms: every request is acted on and answered that much later
    bool isOut = false; ///< out: 503 to all, without effect
    bool isSilent = false; ///< silent: no effect, no answer, connections stay open
    std::uint32_t loseEvery = 0; ///< lose_every: the connection closes in place of each n-th effect's answer
    std::uint32_t lateMs = 0; ///< late_ms: an append whose answer is lost takes effect that much later
    bool repeatsAnswers = false; ///< repeat_answers: each answer is sent twice
    bool duplicatesAppends = false; ///< duplicate_appends: a record id that is there is appended again
    bool isTrimmedPast = false; ///< trimmed_past: reads below the end find their offset trimmed
    bool hasStaleList = false; ///< stale_list: the instance list stays as it is
    std::uint32_t maxAppendsPerSecond = 0; ///< max_appends_per_second: more get 429; 0 is no limit
};

/// Nothing when `body` is no JSON object of these keys.
std::optional<Faults> parseFaults(std::string_view body);

} // namespace PlatformStandin
