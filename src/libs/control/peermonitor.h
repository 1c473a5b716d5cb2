#pragma once

#include "requestplaneload.h"

#include <base/timerservice.h>
#include <fleet/fleetstate.h>
#include <peering/peerclient.h>
#include <platform/messages.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Control
{

/// Polls the other entry instances of the zone for reports and keeps the latest report of each. Must be used
/// on the control thread.
class PeerMonitor
{
public:
    /// `post` runs a task on the control thread.
    PeerMonitor(Peering::PeerIdentity self,
                std::string instance,
                Base::TimerService &timers,
                Base::Duration period,
                std::function<void(std::function<void()>)> post);

    /// Updates the peers from the platform's list; only entry instances of this zone are considered.
    void setInstanceList(const std::vector<Platform::ListedInstance> &list);

    /// Requests a report from each peer once.
    void requestReports();

    /// Requests the folded state of each peer; `callback` is called for each one received.
    void requestStates(const std::function<void(Peering::PeerState)> &callback);

    /// Stores the address of a member that sent a message, as the platform's list may not contain it yet.
    void storeSenderAddress(const Peering::PeerIdentity &sender);

    /// Sends a message to a member that has reported or sent a message before; drops it for any other member.
    void sendSlotMessage(const Scheduling::OutgoingSlotMessage &message);

    /// Whether every entry instance of the zone that the platform does not list as gone has responded within
    /// the last two periods.
    bool areAllReachable() const;

    /// Members assumed to be alive, sorted: this member, those that responded, and the latest known member
    /// of each listed entry instance that has not responded.
    std::vector<Base::MemberName> liveMembers(const Fleet::FleetState &state) const;

    /// Live members that have not responded for at least `timeout`.
    std::vector<Base::MemberName> unresponsiveMembers(const Fleet::FleetState &state,
                                                      Base::Duration timeout) const;

    /// The latest reports of the peers that responded within the last two periods.
    std::vector<Peering::PeerReport> reports() const;

private:
    struct Peer {
        std::string address;
        std::optional<Peering::PeerReport> report;
        Base::Instant lastSeenAt;
    };

    void onReport(const std::string &instance, std::optional<Peering::PeerReport> report);
    bool isFresh(const Peer &peer) const;
    std::optional<Base::MemberName> latestMemberOf(const std::string &instance,
                                                   const Fleet::FleetState &state) const;

    Peering::PeerIdentity m_self;
    std::string m_instance;
    Base::TimerService &m_timers;
    Base::Duration m_period;
    std::function<void(std::function<void()>)> m_post;
    std::map<std::string, Peer> m_peers; ///< by name of the entry instance
    std::map<Base::MemberName, std::string> m_senderAddresses;
    std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
    Peering::PeerClient m_client;
};

} // namespace Control
