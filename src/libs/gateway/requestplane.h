#pragma once

#include "callerfrontend.h"
#include "callerlimits.h"
#include "gatewayconstants.h"
#include "message.h"
#include "routingtable.h"
#include "targetdispatcher.h"
#include "targetlimits.h"

#include <base/ring.h>
#include <runtime/eventloopthread.h>
#include <scheduling/schedulerlimits.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Gateway
{

/// The data path of the gateway: accepts requests from callers and forwards them to targets.
///
/// The caller side and the target side each run on a thread of their own and exchange messages through
/// two ring buffers.
template<SchedulerConcept Scheduler>
class RequestPlane
{
public:
    /// Throws boost::system::system_error if listening on the callers' address fails.
    RequestPlane(const CallerLimits &callers,
                 const TargetLimits &targets,
                 const Scheduling::SchedulerLimits &scheduling,
                 std::uint64_t seed)
        : m_callerThread("callers")
        , m_targetThread("targets")
        , m_callers(m_callerThread, callers)
        , m_targets(m_targetThread, targets, scheduling, seed)
        , m_toTargets(callers.inFlight * MessagesPerExchange,
                      m_targetThread.wake([this] { drainToTargets(); }))
        , m_toCallers(callers.inFlight * MessagesPerExchange,
                      m_callerThread.wake([this] { drainToCallers(); }))
    {
        m_callers.setOutput(m_toTargets);
        m_targets.setOutput(m_toCallers);
    }

    RequestPlane(const RequestPlane &) = delete;
    RequestPlane &operator=(const RequestPlane &) = delete;

    ~RequestPlane()
    {
        stop();
    }

    /// Sets the sink for spans and request counts. Must be called before start().
    void setTelemetry(Telemetry::EventSink &sink)
    {
        m_targets.setTelemetry(sink);
    }

    /// Sets the functions that claim idempotency keys. Must be called before start().
    void setClaims(ClaimPort port)
    {
        m_targets.setClaims(std::move(port));
    }

    void start()
    {
        m_callers.start();
        m_targetThread.start();
        m_callerThread.start();
    }

    void stop()
    {
        m_callerThread.stop();
        m_targetThread.stop();
    }

    /// Replaces the routing table. Thread-safe.
    void setRouting(std::shared_ptr<const RoutingTable> table)
    {
        m_targetThread.post(
            [this, table = std::move(table)]() mutable { m_targets.setRouting(std::move(table)); });
    }

    /// Schedules `task` on the thread of the target side. Thread-safe.
    void postToTargets(std::function<void(TargetDispatcher<Scheduler> &)> task)
    {
        m_targetThread.post([this, task = std::move(task)] { task(m_targets); });
    }

    CallerFrontend &callers()
    {
        return m_callers;
    }
    const TargetCounters &targetCounters() const
    {
        return m_targets.counters();
    }

private:
    void drainToTargets()
    {
        m_toTargets.drain([this](ToTargets &&message) { m_targets.receive(std::move(message)); });
    }

    void drainToCallers()
    {
        m_toCallers.drain([this](ToCallers &&message) { m_callers.receive(std::move(message)); });
    }

    Runtime::EventLoopThread m_callerThread;
    Runtime::EventLoopThread m_targetThread;
    CallerFrontend m_callers;
    TargetDispatcher<Scheduler> m_targets;
    Base::Ring<ToTargets> m_toTargets;
    Base::Ring<ToCallers> m_toCallers;
};

} // namespace Gateway
