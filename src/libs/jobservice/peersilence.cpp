#include "peersilence.h"

namespace JobService
{

namespace
{

// A peer that hasn't answered for this time counts as silent. With a slow store, owners take 0.5 s to answer.
constexpr Base::Duration Patience = std::chrono::milliseconds{600};

// Interval between two requests to a silent peer.
constexpr Base::Duration ProbePeriod = std::chrono::milliseconds{300};

} // namespace

bool PeerSilence::isToBeAsked(const Ini::Endpoint &peer, Base::Instant now) const
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end() || !it->second.isWaitedFor) {
        return true;
    }
    return now - it->second.unansweredSince < Patience || now - it->second.askedAt >= ProbePeriod;
}

void PeerSilence::sent(const Ini::Endpoint &peer, Base::Instant now)
{
    Peer &asked = m_peers[peer];
    asked.askedAt = now;
    if (!asked.isWaitedFor) {
        asked.isWaitedFor = true;
        asked.unansweredSince = now;
    }
}

void PeerSilence::answered(const Ini::Endpoint &peer)
{
    m_peers[peer].isWaitedFor = false;
}

} // namespace JobService
