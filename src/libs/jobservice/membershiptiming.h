#pragma once

#include <base/instant.h>

namespace JobService
{

/// Determines the lifetime of the membership and the timeout and interval of its renewals.
///
/// The shards of a killed owner go to other members only when its membership lapses, and callers wait until
/// then. The lifetime is therefore as short as the store allows. While the store is slow or its answers get
/// lost, a short membership would lapse for running members, so the lifetime is extended.
class MembershipTiming
{
public:
    /// `shortest` is the shortest lifetime that the store allows.
    explicit MembershipTiming(Base::Duration shortest);

    void renewalAnswered(Base::Duration latency);
    /// To be called when a renewal got no answer or was refused.
    void renewalMissed();

    Base::Duration lifetime() const;
    Base::Duration renewalTimeout() const;
    /// Interval between two renewals.
    Base::Duration renewalInterval() const;

private:
    Base::Duration m_shortest;
    Base::Duration m_latency{}; ///< recent maximum, which decays
};

} // namespace JobService
