#pragma once

namespace Scheduling
{

/// Limits retries to a share of the successes with a token bucket, so that there are no retries while all
/// requests fail.
class RetryBudget
{
public:
    /// Each success adds `share` tokens, up to `burst`. The bucket starts full.
    RetryBudget(double share, double burst);

    void addSuccess();

    /// Takes the token for one retry. Returns false if there is none.
    bool tryWithdraw();

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace Scheduling
