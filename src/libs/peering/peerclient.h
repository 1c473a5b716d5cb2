#pragma once

#include "peerreport.h"

#include <base/instant.h>
#include <scheduling/slotmessages.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Peering
{

/// Asks the other members of the zone. Callbacks come on threads of gRPC, exactly once each, at the latest
/// after the timeout; nothing is handed over when the peer didn't answer or is of another environment or
/// zone.
class PeerClient
{
public:
    PeerClient(PeerIdentity self, Base::Duration timeout);
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Waits for the calls under way.
    ~PeerClient();

    /// `address` is "IP:port". Connections are kept by address.
    void askReport(const std::string &address, std::function<void(std::optional<PeerReport>)> callback);
    /// Sent at most once; a message that is lost is made up for by later ones.
    void sendSlotMessage(const std::string &address, const Scheduling::SlotMessage &message);
    void askState(const std::string &address, std::function<void(std::optional<PeerState>)> callback);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Peering
