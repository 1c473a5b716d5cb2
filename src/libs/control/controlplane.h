#pragma once

#include "controlsettings.h"
#include "controlstatus.h"
#include "requestplaneload.h"

#include <gateway/routingtable.h>
#include <scheduling/membership.h>
#include <scheduling/slotmessages.h>

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace Runtime
{
class EventLoopThread;
}

namespace Control
{

/// Receives the number of requests that this entry instance has in flight on each of the given instances.
using InFlightCallback = std::function<void(std::vector<std::uint32_t>)>;

/// Interface of the request plane used by the control plane. All functions are called on the control thread.
struct RequestPlanePort {
    std::function<void(std::shared_ptr<const Gateway::RoutingTable>)> setRouting;

    /// Calls `callback` on the control thread once all previously set routing tables are active.
    std::function<void(std::vector<Base::InstanceName>, InFlightCallback callback)> queryInFlight;

    /// Calls the callback on the control thread.
    std::function<void(std::function<void(RequestPlaneLoad)>)> queryLoad;

    /// The members that share the zone's slots, and the slot messages they exchange.
    std::function<void(Scheduling::MembershipEpoch)> setEpoch;
    std::function<void(Scheduling::SlotMessage)> receiveSlotMessage;
};

/// Follows the log, folds it into the fleet state, and applies that state to this entry instance.
class ControlPlane
{
public:
    /// Throws std::runtime_error if the state charts cannot be loaded.
    ControlPlane(Runtime::EventLoopThread &eventLoop,
                 ControlSettings settings,
                 RequestPlanePort requestPlane);
    ~ControlPlane();

    void start();

    /// Leaves the zone's membership. Calls `done` once the log contains the record of it, or after a timeout
    /// if the platform is unreachable.
    void leave(std::function<void()> done);

    /// Sends slot messages to other members. May be called from any thread.
    void sendSlotMessages(std::vector<Scheduling::OutgoingSlotMessage> messages);

    /// Stops the peer server. Must be called from another thread while the control thread still runs.
    void stopPeerServer();

    /// May be called from any thread.
    std::shared_ptr<const ControlStatus> status() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Control
