#pragma once

#include "controlsettings.h"
#include "controlstatus.h"
#include "planeload.h"

#include <gateway/routingtable.h>
#include <scheduling/membership.h>
#include <scheduling/slotmessages.h>

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace Runtime
{
class Duty;
}

namespace Control
{

/// How many requests this entry instance has in flight on each of the instances asked for.
using InFlightAnswer = std::function<void(std::vector<std::uint32_t>)>;

/// What the control duty needs of the request plane; called on the control duty's thread.
struct RequestPlanePort {
    std::function<void(std::shared_ptr<const Gateway::RoutingTable>)> setRouting;

    /// Calls `answer` on the control duty's thread, after all routing tables set before are in force.
    std::function<void(std::vector<Base::InstanceName>, InFlightAnswer answer)> askInFlight;

    /// Calls back on the control duty's thread.
    std::function<void(std::function<void(PlaneLoad)>)> askLoad;

    /// The members that share the zone's slots, and what they tell each other of them.
    std::function<void(Scheduling::MembershipEpoch)> setEpoch;
    std::function<void(Scheduling::SlotMessage)> receiveSlots;
};

/// Follows the log, folds it into the fleet's state, and puts what it says in force on this entry instance.
class ControlDuty
{
public:
    /// Throws std::runtime_error when the state charts can't be loaded.
    ControlDuty(Runtime::Duty &duty, ControlSettings settings, RequestPlanePort requestPlane);
    ~ControlDuty();

    void start();

    /// Leaves the zone's members: the record says so before `done` is called, or the platform is out.
    void leave(std::function<void()> done);

    /// Passes a message on to another member; from any thread.
    void sendSlots(std::vector<Scheduling::OutgoingSlotMessage> messages);

    /// Ends the server for peers; to be called while the duty's thread runs, from another thread.
    void stopPeers();

    /// May be called from any thread.
    std::shared_ptr<const ControlStatus> status() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Control
