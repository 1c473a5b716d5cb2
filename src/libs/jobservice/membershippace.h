#pragma once

#include <base/instant.h>

namespace JobService
{

/// How long a membership is asked for, and how long its renewal is waited for.
///
/// Answers owners that are killed while callers wait: their shards go to others when the membership lapses,
/// so it is as short as the store allows. While the store is slow or loses answers, a short one would lapse
/// under members that live, and is made longer.
class MembershipPace
{
public:
    /// `shortest` is what the store allows at least.
    explicit MembershipPace(Base::Duration shortest);

    void answered(Base::Duration latency);
    /// The renewal got no answer, or was refused.
    void missed();

    Base::Duration lifetime() const;
    Base::Duration patience() const;
    /// From one renewal to the next.
    Base::Duration period() const;

private:
    Base::Duration m_shortest;
    Base::Duration m_latency{}; ///< the longest one lately
};

} // namespace JobService
