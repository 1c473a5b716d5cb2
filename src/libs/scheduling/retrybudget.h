#pragma once

namespace Scheduling
{

/// Allows retries as a share of successes (a token bucket), so that retries vanish when nothing succeeds.
class RetryBudget
{
public:
    /// Each success earns `share` retries; at most `burst` are saved up. Starts full.
    RetryBudget(double share, double burst);

    void addSuccess();

    /// True, and one retry spent, when the budget holds one.
    bool tryWithdraw();

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace Scheduling
