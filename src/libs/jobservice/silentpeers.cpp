#include "silentpeers.h"

namespace JobService
{

namespace
{

// A peer that hasn't answered for this time counts as silent. With a slow store, owners take 0.5 s to answer.
constexpr Base::Duration SilenceTimeout = std::chrono::milliseconds{600};

// Interval between two requests to a silent peer.
constexpr Base::Duration SilentPeerProbeInterval = std::chrono::milliseconds{300};

} // namespace

bool SilentPeers::maySend(const Ini::Endpoint &peer, Base::Instant now) const
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end() || !it->second.isAwaitingAnswer) {
        return true;
    }
    return now - it->second.unansweredSince < SilenceTimeout
        || now - it->second.lastSentAt >= SilentPeerProbeInterval;
}

void SilentPeers::sent(const Ini::Endpoint &peer, Base::Instant now)
{
    Peer &asked = m_peers[peer];
    asked.lastSentAt = now;
    if (!asked.isAwaitingAnswer) {
        asked.isAwaitingAnswer = true;
        asked.unansweredSince = now;
    }
}

void SilentPeers::answered(const Ini::Endpoint &peer)
{
    m_peers[peer].isAwaitingAnswer = false;
}

} // namespace JobService
