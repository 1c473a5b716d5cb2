#include "priorityorder.h"

#include <algorithm>

namespace Scheduling
{

namespace
{

double asMicros(Base::Duration duration)
{
    return static_cast<double>(duration.count());
}

} // namespace

PriorityOrder::PriorityOrder(const std::array<double, PriorityCount> &guaranteedShare)
    : m_guaranteedShare(guaranteedShare)
{
}

std::optional<std::size_t> PriorityOrder::next(const WaitingByPriority &waiting) const
{
    std::optional<std::size_t> highest;
    for (std::size_t n = 0; n < PriorityCount; ++n) {
        if (!waiting[n].isWaiting) {
            continue;
        }
        const bool isGuaranteed = m_guaranteedShare[n] > 0 && m_credit[n] >= asMicros(waiting[n].cost);
        if (highest && isGuaranteed) {
            return n;
        }
        highest = highest.value_or(n);
    }
    return highest;
}

// The credit is measured in slot time instead of requests, since a batch job may use a slot a thousand times
// as long as another request. It is capped at the cost of one request, so that it can't accumulate to a
// burst.
void PriorityOrder::addDispatch(std::size_t priority, Base::Duration cost, const WaitingByPriority &waiting)
{
    m_credit[priority] = std::max(0.0, m_credit[priority] - asMicros(cost));
    for (std::size_t n = priority + 1; n < PriorityCount; ++n) {
        if (waiting[n].isWaiting) {
            const double earned = asMicros(cost) * m_guaranteedShare[n] / (1 - m_guaranteedShare[n]);
            m_credit[n] = std::min(asMicros(waiting[n].cost), m_credit[n] + earned);
        }
    }
}

} // namespace Scheduling
