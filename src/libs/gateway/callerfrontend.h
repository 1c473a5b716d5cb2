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

/// Counts of the caller side since the start.
struct CallerCounters {
    std::atomic<std::uint64_t> requests{0}; ///< parsed and accepted as well-formed
    std::atomic<std::uint64_t> malformed{0}; ///< answered with a 4xx or 5xx of the caller side
    std::atomic<std::uint64_t> refused{0}; ///< more in flight than allowed
    std::atomic<std::uint64_t> callerDisconnects{0}; ///< connections lost with a request in flight
    std::atomic<std::uint64_t> connections{0}; ///< open now
    std::atomic<std::uint64_t> inFlight{0}; ///< exchanges now
};

/// Accepts callers' connections, reads and checks their requests, and writes responses back.
class CallerFrontend
{
public:
    /// Throws boost::system::system_error when the address can't be listened on.
    CallerFrontend(Runtime::EventLoopThread &eventLoop, const CallerLimits &limits);
    ~CallerFrontend();

    /// Where messages to the target side go; to be set before start().
    void setOutput(Base::Ring<ToTargets> &output);

    /// Handles one message of the target side; on the duty's thread.
    void receive(ToCallers &&message);

    void start();

    /// Goes out of service: for the drain notice connections end after their next response, then nothing
    /// is accepted any more; `done` is called on the duty's thread when the last connection has ended.
    void drain(std::function<void()> done);

    std::uint16_t port() const;
    const CallerCounters &counters() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Gateway
