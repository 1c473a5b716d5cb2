#pragma once

#include <base/instant.h>

#include <cstdint>
#include <optional>

namespace Http
{

struct HedgeCounts {
    std::uint64_t sent = 0; ///< further attempts of calls whose answer was overdue
    std::uint64_t won = 0; ///< calls that were answered to a further attempt
    std::uint64_t suppressed = 0; ///< further attempts that the budget did not allow
};

/// Decides when a call that changes nothing by being repeated is sent again before it has failed: once its
/// answer is overdue by the usual latency (J. Dean, L. A. Barroso: The Tail at Scale, 2013, "hedged
/// requests").
///
/// While the server answers in its usual time nothing is sent twice. Further attempts are limited by a budget
/// that is restored where they were answered, so that a server that is slow or silent receives few of them.
class HedgePolicy
{
public:
    static constexpr int MaxAttempts = 5; ///< of one call, with the first

    /// How long after the latest attempt the next one is due; nullopt if there is none.
    std::optional<Base::Duration> delayAfter(int attempts) const;
    /// Returns whether a further attempt may be sent, and takes it off the budget if so.
    bool takeAttempt();
    /// To be called when a call was answered, with the time from the answered attempt to the first byte of
    /// its answer. `attempts` is the number that was sent.
    void answered(Base::Duration latency, int attempts, bool isFirstAttempt);

    const HedgeCounts &counts() const;

private:
    static constexpr double MaxBudget = 10;

    Base::Duration m_latency{}; ///< recent maximum, which decays
    double m_budget = MaxBudget;
    HedgeCounts m_counts;
};

} // namespace Http
