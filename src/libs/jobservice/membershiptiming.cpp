#include "membershiptiming.h"

#include <algorithm>

namespace JobService
{

namespace
{

// A membership outlasts two renewals without an answer; the store usually answers within a few milliseconds.
constexpr int RenewalsInLifetime = 10;
constexpr double RenewalTimeoutShare = 0.3;

// While the store is slow: the longest lifetime as a multiple of the shortest one, and the timeout of
// renewals as a share of the lifetime.
constexpr double MaxLifetimeFactor = 1.5;
constexpr double LongRenewalTimeoutShare = 0.4;

// Decay of the maximum latency per renewal, so that a peak has an effect for some tens of renewals.
constexpr double LatencyDecay = 0.95;

Base::Duration scaled(Base::Duration time, double factor)
{
    return std::chrono::duration_cast<Base::Duration>(time * factor);
}

} // namespace

MembershipTiming::MembershipTiming(Base::Duration shortest)
    : m_shortest(shortest)
{
}

void MembershipTiming::renewalAnswered(Base::Duration latency)
{
    m_latency = std::max(latency, scaled(m_latency, LatencyDecay));
}

void MembershipTiming::renewalMissed()
{
    m_latency = std::max(m_latency, renewalTimeout());
}

Base::Duration MembershipTiming::lifetime() const
{
    return std::clamp(m_latency * RenewalsInLifetime, m_shortest, scaled(m_shortest, MaxLifetimeFactor));
}

Base::Duration MembershipTiming::renewalTimeout() const
{
    return scaled(lifetime(), lifetime() > m_shortest ? LongRenewalTimeoutShare : RenewalTimeoutShare);
}

Base::Duration MembershipTiming::renewalInterval() const
{
    return lifetime() / RenewalsInLifetime;
}

} // namespace JobService
