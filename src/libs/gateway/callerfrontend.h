#pragma once

#include "callerlimits.h"
#include "message.h"

#include <base/ring.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace Runtime
{
class EventLoopThread;
}

namespace Gateway
{

/// Counters and gauges of the caller side.
struct CallerCounters {
    std::atomic<std::uint64_t> requests{0}; ///< parsed and found valid
    std::atomic<std::uint64_t> malformed{0}; ///< got a 4xx or 5xx response before they were read completely
    std::atomic<std::uint64_t> refused{0}; ///< rejected because of CallerLimits::inFlight or receivedBytes
    std::atomic<std::uint64_t> callerDisconnects{0}; ///< connections lost while a request was in flight
    std::atomic<std::uint64_t> connections{0}; ///< currently open
    std::atomic<std::uint64_t> inFlight{0}; ///< exchanges currently in flight
};

/// Accepts callers' connections, reads and validates their requests, and writes the responses.
class CallerFrontend
{
public:
    /// Throws boost::system::system_error if listening on the address fails.
    CallerFrontend(Runtime::EventLoopThread &eventLoop, const CallerLimits &limits);
    ~CallerFrontend();

    /// Sets the ring for messages to the target side. Must be called before start().
    void setOutput(Base::Ring<ToTargets> &output);

    /// Handles one message from the target side. Called on the event loop's thread.
    void receive(ToCallers &&message);

    void start();

    /// Takes the caller side out of service. During CallerLimits::drainNotice new connections are still
    /// accepted, but each one is closed after its next response; then the listening socket and idle
    /// connections are closed. `done` is called on the event loop's thread when the last connection is
    /// closed.
    void drain(std::function<void()> done);

    std::uint16_t port() const;
    const CallerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Gateway
