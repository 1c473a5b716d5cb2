#pragma once

#include <base/instant.h>

#include <string>
#include <string_view>

namespace JobService
{

/// Whether this member is cut off from all that could serve callers.
///
/// Answers a zone that is cut off: its instances hear each other and none of them can store a job, so they
/// say that they aren't ready, and callers are sent to other zones. While the store is away for all, members
/// of other zones are heard still, and sending callers elsewhere would help nobody.
class Isolation
{
public:
    Isolation(std::string ownZone, Base::Duration noticed, Base::Duration patience);

    /// The store has answered.
    void heardStore(Base::Instant at);
    /// A peer has answered.
    void heardPeer(std::string_view zone, bool hasStore, Base::Instant now);

    /// Peers should be asked for a sign.
    bool isInDoubt(Base::Instant now) const;
    bool isIsolated(Base::Instant now) const;

private:
    std::string m_ownZone;
    Base::Duration m_noticed;
    Base::Duration m_patience;
    Base::Instant m_lastSign;
};

} // namespace JobService
