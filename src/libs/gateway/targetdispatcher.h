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

/// Decides which request goes to which target and when; a pure object that the target duty drives.
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

/// Counts of the target side since the start.
struct TargetCounters {
    std::atomic<std::uint64_t> exchanges{0};
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> refused{0}; ///< by the scheduler, with NotRun
    std::atomic<std::uint64_t> failed{0}; ///< after an attempt
    std::atomic<std::uint64_t> unknownService{0};
    std::atomic<std::uint64_t> progressTimeouts{0};
    std::atomic<std::uint64_t> inFlight{0}; ///< now
};

/// Sends requests to targets as its scheduler decides and hands their responses back.
template<SchedulerConcept Scheduler>
class TargetDispatcher
{
public:
    TargetDispatcher(Runtime::EventLoopThread &eventLoop,
                     const TargetLimits &limits,
                     const Scheduling::SchedulerLimits &schedulerLimits,
                     std::uint64_t seed);
    ~TargetDispatcher();

    /// Where messages to the caller side go; to be set before the first message is received.
    void setOutput(Base::Ring<ToCallers> &output);

    /// Where spans and counts go; to be set before the first message is received.
    void setTelemetry(Telemetry::EventSink &sink);

    /// How idempotency keys are claimed; without it keyed requests are refused. To be set before the first
    /// message is received.
    void setClaims(ClaimPort &&port);

    /// Uses no more slots than this member's share from here on; on the duty's thread.
    void enableSlotSharing(SlotPort port) requires SharesSlots<Scheduler>;
    void setEpoch(const Scheduling::MembershipEpoch &epoch) requires SharesSlots<Scheduler>;
    void stopSlotSharing() requires SharesSlots<Scheduler>;
    void receive(const Scheduling::SlotMessage &message) requires SharesSlots<Scheduler>;

    /// Handles one message of the caller side; on the duty's thread.
    void receive(ToTargets &&message);

    /// Handles the answer to a claim; on the duty's thread.
    void receive(ClaimReply &&reply);

    /// Puts another routing table in force; on the duty's thread.
    void setRouting(std::shared_ptr<const RoutingTable> table);

    /// The number of exchanges in flight on an instance; on the duty's thread.
    std::uint32_t inFlightOn(const Base::InstanceName &instance) const;

    /// Instances with requests in flight; on the duty's thread.
    std::vector<InstanceInFlight> inFlight() const;

    /// The scheduler, to read its statistics and set allowances; on the duty's thread.
    Scheduler &scheduler();

    const TargetCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Gateway
