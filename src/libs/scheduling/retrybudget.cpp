#include "retrybudget.h"

#include <algorithm>

namespace Scheduling
{

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void RetryBudget::addSuccess()
{
    m_tokens = std::min(m_burst, m_tokens + m_share);
}

bool RetryBudget::tryWithdraw()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace Scheduling
