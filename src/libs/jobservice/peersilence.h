#pragma once

#include <base/instant.h>
#include <ini/values.h>

#include <map>

namespace JobService
{

/// Which peers leave what they are sent unanswered.
///
/// Answers a zone that is cut off: each request that is sent to an owner there, or from there, would wait for
/// its own timeout, and its caller would have no time left to go elsewhere. A silent peer gets one request
/// now and then; the others are refused at once.
class PeerSilence
{
public:
    /// Whether to send the peer something now; what is sent has to be noted.
    bool isToBeAsked(const Ini::Endpoint &peer, Base::Instant now) const;

    void sent(const Ini::Endpoint &peer, Base::Instant now);
    void answered(const Ini::Endpoint &peer);

private:
    struct Peer {
        Base::Instant unansweredSince; ///< the first request since its last answer
        Base::Instant askedAt;
        bool isWaitedFor = false;
    };

    std::map<Ini::Endpoint, Peer> m_peers;
};

} // namespace JobService
