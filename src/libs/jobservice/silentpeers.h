#pragma once

#include <base/instant.h>
#include <ini/values.h>

#include <map>

namespace JobService
{

/// Tracks peers that don't answer requests.
///
/// When a zone is cut off, each request to an owner there, or from there to another zone, would wait for its
/// full timeout, and its caller would have no time left to try another instance. A peer that doesn't answer
/// is sent a request only from time to time; the other requests are refused at once.
class SilentPeers
{
public:
    /// Whether a request may be sent to the peer now. The caller has to report it with sent().
    bool maySend(const Ini::Endpoint &peer, Base::Instant now) const;

    void sent(const Ini::Endpoint &peer, Base::Instant now);
    void answered(const Ini::Endpoint &peer);

private:
    struct Peer {
        Base::Instant unansweredSince; ///< time of the first request since the last answer
        Base::Instant lastSentAt;
        bool isAwaitingAnswer = false;
    };

    std::map<Ini::Endpoint, Peer> m_peers;
};

} // namespace JobService
