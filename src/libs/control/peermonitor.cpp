#include "peermonitor.h"

#include <base/logline.h>

#include <algorithm>
#include <utility>

namespace Control
{

namespace
{

constexpr std::size_t MaxSenders = 1024;

} // namespace

PeerMonitor::PeerMonitor(Peering::PeerIdentity self,
                         std::string instance,
                         Base::TimerService &timers,
                         Base::Duration period,
                         std::function<void(std::function<void()>)> post)
    : m_self(self)
    , m_instance(std::move(instance))
    , m_timers(timers)
    , m_period(period)
    , m_post(std::move(post))
    , m_client(std::move(self), period)
{
}

void PeerMonitor::setInstanceList(const std::vector<Platform::ListedInstance> &list)
{
    std::map<std::string, Peer> peers;
    for (const auto &it : list) {
        const bool isPeer = it.kind == Platform::InstanceKind::Entry && it.zone == m_self.zone.value
            && it.state != Platform::InstanceState::Gone && it.name != m_instance;
        if (!isPeer) {
            continue;
        }
        const auto known = m_peers.find(it.name);
        if (known != m_peers.end() && known->second.address == it.peersAddress) {
            peers.insert(*known);
        } else {
            peers[it.name] = {it.peersAddress, std::nullopt, m_timers.now()};
        }
    }
    m_peers = std::move(peers);
}

void PeerMonitor::requestReports()
{
    for (const auto &[instance, peer] : m_peers) {
        if (peer.address.empty()) {
            continue;
        }
        m_client.askReport(
            peer.address,
            [this, lifetime = std::weak_ptr(m_lifetimeToken), post = m_post, name = instance](
                auto report) mutable {
                post([this, lifetime, name = std::move(name), report = std::move(report)]() mutable {
                    if (lifetime.lock()) {
                        onReport(name, std::move(report));
                    }
                });
            });
    }
}

void PeerMonitor::requestStates(const std::function<void(Peering::PeerState)> &callback)
{
    for (const auto &[instance, peer] : m_peers) {
        if (peer.address.empty()) {
            continue;
        }
        m_client.askState(peer.address,
                          [lifetime = std::weak_ptr(m_lifetimeToken), post = m_post, callback](auto state) {
                              if (!state) {
                                  return;
                              }
                              post([lifetime, callback, state = std::move(*state)]() mutable {
                                  if (lifetime.lock()) {
                                      callback(std::move(state));
                                  }
                              });
                          });
    }
}

void PeerMonitor::storeSenderAddress(const Peering::PeerIdentity &sender)
{
    if (!sender.address.empty() && m_senderAddresses.size() < MaxSenders) {
        m_senderAddresses[sender.member] = sender.address;
    }
}

void PeerMonitor::sendSlotMessage(const Scheduling::OutgoingSlotMessage &message)
{
    if (const auto sender = m_senderAddresses.find(message.to); sender != m_senderAddresses.end()) {
        m_client.sendSlotMessage(sender->second, message.message);
        return;
    }
    for (const auto &[instance, peer] : m_peers) {
        if (peer.report && peer.report->from.member == message.to) {
            m_client.sendSlotMessage(peer.address, message.message);
        }
    }
}

bool PeerMonitor::areAllReachable() const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [this](const auto &it) { return isFresh(it.second); });
}

std::vector<Base::MemberName> PeerMonitor::liveMembers(const Fleet::FleetState &state) const
{
    std::vector<Base::MemberName> members{m_self.member};
    for (const auto &[instance, peer] : m_peers) {
        if (peer.report) {
            members.push_back(peer.report->from.member);
        } else if (const auto member = latestMemberOf(instance, state)) {
            members.push_back(*member);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

std::vector<Base::MemberName> PeerMonitor::unresponsiveMembers(const Fleet::FleetState &state,
                                                               Base::Duration timeout) const
{
    std::vector<Base::MemberName> members;
    for (const auto &[instance, peer] : m_peers) {
        if (m_timers.now() - peer.lastSeenAt < timeout) {
            continue;
        }
        const auto member =
            peer.report ? std::optional(peer.report->from.member) : latestMemberOf(instance, state);
        if (member) {
            members.push_back(*member);
        }
    }
    return members;
}

std::vector<Peering::PeerReport> PeerMonitor::reports() const
{
    std::vector<Peering::PeerReport> reports;
    for (const auto &[instance, peer] : m_peers) {
        if (peer.report && isFresh(peer)) {
            reports.push_back(*peer.report);
        }
    }
    return reports;
}

void PeerMonitor::onReport(const std::string &instance, std::optional<Peering::PeerReport> report)
{
    const auto it = m_peers.find(instance);
    if (it == m_peers.end() || !report) {
        return;
    }
    Peer &peer = it->second;
    if (peer.report && peer.report->from.member != report->from.member) {
        Base::LogLine(Base::LogLevel::Info, "peer-replaced")
            .with("instance", instance)
            .with("member", report->from.member.value);
    }
    peer.report = std::move(report);
    peer.lastSeenAt = m_timers.now();
}

bool PeerMonitor::isFresh(const Peer &peer) const
{
    return peer.report && m_timers.now() - peer.lastSeenAt <= 2 * m_period;
}

// Member names start with the name of their instance, and each restart creates a new one; only the member
// that joined last may still be alive.
std::optional<Base::MemberName> PeerMonitor::latestMemberOf(const std::string &instance,
                                                            const Fleet::FleetState &state) const
{
    std::optional<Base::MemberName> latest;
    Fleet::Offset joinedAt;
    for (const auto &[name, member] : state.members) {
        if (name.value.starts_with(instance + '.') && member.joinedAt >= joinedAt) {
            latest = name;
            joinedAt = member.joinedAt;
        }
    }
    return latest;
}

} // namespace Control
