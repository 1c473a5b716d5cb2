#pragma once

#include <base/instant.h>

#include <string>
#include <string_view>

namespace JobService
{

/// Detects that this member is cut off from the store and from all members that could serve callers.
///
/// The instances of a zone that is cut off can reach each other, but none of them can store a job. They have
/// to report that they aren't ready, so that callers are sent to other zones. During an outage of the store
/// for all zones, members of other zones can still be reached, and sending callers there would not help.
class Isolation
{
public:
    Isolation(std::string ownZone, Base::Duration probeAfter, Base::Duration timeout);

    /// To be called when the store has answered.
    void storeAnswered(Base::Instant at);
    /// To be called when a peer has answered.
    void peerAnswered(std::string_view zone, bool hasStore, Base::Instant now);

    /// Whether there has been no contact for so long that peers should be probed.
    bool needsProbe(Base::Instant now) const;
    bool isIsolated(Base::Instant now) const;

private:
    std::string m_ownZone;
    Base::Duration m_probeThreshold;
    Base::Duration m_timeout;
    Base::Instant m_lastContact;
};

} // namespace JobService
