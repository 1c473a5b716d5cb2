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

/// The whole request plane: the caller side and the target side, each a thread, joined by rings.
template<SchedulerConcept Scheduler>
class RequestPlane
{
public:
    /// Throws boost::system::system_error when the callers' address can't be listened on.
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

    /// Where spans and counts go; before start().
    void setTelemetry(Telemetry::EventSink &sink)
    {
        m_targets.setTelemetry(sink);
    }

    /// How idempotency keys are claimed; before start().
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

    /// Puts another routing table in force; from any thread.
    void setRouting(std::shared_ptr<const RoutingTable> table)
    {
        m_targetThread.post(
            [this, table = std::move(table)]() mutable { m_targets.setRouting(std::move(table)); });
    }

    /// Runs `task` with the target side, on its thread; from any thread.
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
