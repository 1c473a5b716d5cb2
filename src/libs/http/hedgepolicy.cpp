#include "hedgepolicy.h"

#include <algorithm>

namespace Http
{

namespace
{

// A server that usually answers within a few milliseconds may need this long when it is busy for a moment.
constexpr Base::Duration MinDelay = std::chrono::milliseconds{50};
constexpr double LatencyFactor = 3;

// Decay of the maximum latency per answer, so that a peak has an effect for some tens of calls.
constexpr double LatencyDecay = 0.95;

// Attempts that an answer to a first attempt restores to the budget.
constexpr double RestoredPerCall = 0.05;
// The same for an answer to a further attempt, besides those that the call has used. It shows that answers
// are lost, and calls that lose all of theirs must not use the budget up.
constexpr double RestoredPerRepeat = 2;

Base::Duration scaled(Base::Duration time, double factor)
{
    return std::chrono::duration_cast<Base::Duration>(time * factor);
}

} // namespace

// The delay doubles with each attempt: one answer that is lost is replaced soon, and a server that answers
// none gets few calls.
std::optional<Base::Duration> HedgePolicy::delayAfter(int attempts) const
{
    if (attempts < 1 || attempts >= MaxAttempts) {
        return std::nullopt;
    }
    return std::max(MinDelay, scaled(m_latency, LatencyFactor)) * (1 << (attempts - 1));
}

bool HedgePolicy::takeAttempt()
{
    if (m_budget < 1) {
        ++m_counts.suppressed;
        return false;
    }
    m_budget -= 1;
    ++m_counts.sent;
    return true;
}

void HedgePolicy::answered(Base::Duration latency, int attempts, bool isFirstAttempt)
{
    m_latency = std::max(latency, scaled(m_latency, LatencyDecay));
    m_counts.won += isFirstAttempt ? 0 : 1;
    const double restored = isFirstAttempt ? RestoredPerCall : attempts - 1 + RestoredPerRepeat;
    m_budget = std::min(MaxBudget, m_budget + restored);
}

const HedgeCounts &HedgePolicy::counts() const
{
    return m_counts;
}

} // namespace Http
