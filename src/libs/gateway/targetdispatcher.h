#pragma once

#include "claimport.h"
#include "message.h"
#include "routingtable.h"
#include "slotport.h"
#include "targetlimits.h"

#include <base/ring.h>
#include <scheduling/attempt.h>
#include <scheduling/decision.h>
#include <scheduling/fleetspecs.h>
#include <scheduling/schedulerlimits.h>
#include <scheduling/statistics.h>
#include <telemetry/span.h>

#include <atomic>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace Runtime
{
class EventLoopThread;
}

namespace Gateway
{

/// Decides when a request is sent and to which target. A scheduler does no I/O and reads no clock;
/// TargetDispatcher passes events and the time in and executes the resulting decisions.
template<typename S>
concept SchedulerConcept = requires(S scheduler,
                                    const Scheduling::Arrival &arrival,
                                    const Scheduling::AttemptResult &result,
                                    Scheduling::RequestId request,
                                    Base::Instant now,
                                    std::vector<Scheduling::Decision> &decisions,
                                    std::span<const Scheduling::ServiceSpec> services,
                                    std::span<const Scheduling::TargetSpec> targets)
{
    scheduler.setFleet(services, targets);
    scheduler.arrive(arrival, now, decisions);
    scheduler.attemptEnded(request, result, now, decisions);
    scheduler.cancel(request, now, decisions);
    scheduler.advance(now, decisions);
    {
        scheduler.nextDue()
        } -> std::same_as<std::optional<Base::Instant>>;
};

struct InstanceInFlight {
    Base::InstanceName instance;
    std::uint32_t requests = 0;
};

/// Counters and gauges of the target side.
struct TargetCounters {
    std::atomic<std::uint64_t> exchanges{0};
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> refused{0}; ///< failed with the verdict NotRun; excludes unknownService
    std::atomic<std::uint64_t> failed{0}; ///< failed with any other verdict
    std::atomic<std::uint64_t> unknownService{0};
    std::atomic<std::uint64_t> progressTimeouts{0};
    std::atomic<std::uint64_t> inFlight{0}; ///< exchanges currently in flight
};

/// Sends requests to targets as decided by the scheduler and returns the responses to the caller side.
template<SchedulerConcept Scheduler>
class TargetDispatcher
{
public:
    TargetDispatcher(Runtime::EventLoopThread &eventLoop,
                     const TargetLimits &limits,
                     const Scheduling::SchedulerLimits &schedulerLimits,
                     std::uint64_t seed);
    ~TargetDispatcher();

    /// Sets the ring for messages to the caller side. Must be called before the first message is received.
    void setOutput(Base::Ring<ToCallers> &output);

    /// Sets the sink for spans and request counts. Must be called before the first message is received.
    void setTelemetry(Telemetry::EventSink &sink);

    /// Sets the functions that claim idempotency keys. Without them, non-idempotent requests with a key are
    /// refused. Must be called before the first message is received.
    void setClaims(ClaimPort &&port);

    /// Limits the slots in use to this member's share from now on. Called on the event loop's thread.
    void enableSlotSharing(SlotPort port) requires SharesSlots<Scheduler>;
    void setEpoch(const Scheduling::MembershipEpoch &epoch) requires SharesSlots<Scheduler>;
    void stopSlotSharing() requires SharesSlots<Scheduler>;
    void receive(const Scheduling::SlotMessage &message) requires SharesSlots<Scheduler>;

    /// Handles one message from the caller side. Called on the event loop's thread.
    void receive(ToTargets &&message);

    /// Handles the reply to a claim. Called on the event loop's thread.
    void receive(ClaimReply &&reply);

    /// Replaces the routing table. Called on the event loop's thread.
    void setRouting(std::shared_ptr<const RoutingTable> table);

    /// Returns the number of exchanges in flight on an instance. Called on the event loop's thread.
    std::uint32_t inFlightOn(const Base::InstanceName &instance) const;

    /// Returns the instances that have requests in flight. Called on the event loop's thread.
    std::vector<InstanceInFlight> inFlight() const;

    /// Gives access to the scheduler's statistics and allowances. Called on the event loop's thread.
    Scheduler &scheduler();

    const TargetCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Gateway
