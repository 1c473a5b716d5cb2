#pragma once

#include "planeload.h"

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

/// Asks the zone's other entry instances for their reports and keeps the latest of each. On the control
/// duty's thread.
class PeerWatch
{
public:
    /// `post` brings a task to the control duty's thread.
    PeerWatch(Peering::PeerIdentity self,
              std::string instance,
              Base::TimerService &timers,
              Base::Duration period,
              std::function<void(std::function<void()>)> post);

    /// The platform's list, as far as it's about entry instances of this zone.
    void setList(const std::vector<Platform::ListedInstance> &list);

    /// Asks everyone once.
    void ask();

    /// Asks the others for their folded state; `callback` gets each that comes.
    void askStates(const std::function<void(Peering::PeerState)> &callback);

    /// Notes where a member that spoke up listens; the platform's list may not have it yet.
    void noteSender(const Peering::PeerIdentity &sender);

    /// Passes a message on to a member that has reported or spoken up; to others it is lost.
    void passSlotMessage(const Scheduling::OutgoingSlotMessage &message);

    /// Every listed live entry instance of the zone has answered within the last two periods.
    bool areAllReachable() const;

    /// Members that are alive: those that answered, and the last known one of an entry instance that is
    /// listed live and doesn't answer. Sorted.
    std::vector<Base::MemberName> liveMembers(const Fleet::FleetState &state) const;

    /// Of the live members, those that have been silent for at least `patience`.
    std::vector<Base::MemberName> silentMembers(const Fleet::FleetState &state,
                                                Base::Duration patience) const;

    /// The latest reports of the others.
    std::vector<Peering::PeerReport> reports() const;

private:
    struct Peer {
        std::string address;
        std::optional<Peering::PeerReport> report;
        Base::Instant answeredAt;
    };

    void onReport(const std::string &instance, std::optional<Peering::PeerReport> report);
    bool isFresh(const Peer &peer) const;
    std::optional<Base::MemberName> lastMemberOf(const std::string &instance,
                                                 const Fleet::FleetState &state) const;

    Peering::PeerIdentity m_self;
    std::string m_instance;
    Base::TimerService &m_timers;
    Base::Duration m_period;
    std::function<void(std::function<void()>)> m_post;
    std::map<std::string, Peer> m_peers; ///< by the entry instance's name
    std::map<Base::MemberName, std::string> m_senders; ///< addresses of members that spoke up
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Peering::PeerClient m_client;
};

} // namespace Control
