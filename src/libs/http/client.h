#pragma once

#include "message.h"

#include <base/strongid.h>
#include <base/timerservice.h>
#include <base/verdict.h>
#include <ini/values.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Http
{

struct ClientLimits {
    std::size_t connectionsPerServer = 16; ///< further requests wait for one of these
    std::size_t responseLimit = 64U << 20U; ///< bytes of a body
    Base::Duration connectTimeout = std::chrono::milliseconds{1000};
    Base::Duration idleTimeout = std::chrono::seconds{20}; ///< a connection unused for so long is closed
};

/// How long an exchange may take.
struct TimeLimits {
    Base::Duration whole; ///< until the response is whole
    Base::Duration silence; ///< without a byte of the response
};

struct CallTag;
using CallId = Base::StrongId<CallTag>;

/// A response, or why there is none and whether the server may have handled the request.
struct Outcome {
    std::optional<Response> response{};
    Base::Verdict verdict = Base::Verdict::NotRun;
    std::string failure{};
    bool isTimeout = false; ///< whether the failure is the end of a time limit
    std::size_t bytes = 0; ///< received of the body, also of a response that is not whole
    std::optional<Base::Duration> firstByteAfter{}; ///< from the start of the exchange
    std::string partialBody{}; ///< of a response with status 200 that is not whole
};

/// Sends requests over kept connections. A connection on which a request timed out is never used again.
class Client
{
public:
    using Callback = std::function<void(Outcome)>;
    /// Gets the number of bytes of the response's body received so far.
    using Progress = std::function<void(std::size_t bytes)>;

    Client(boost::asio::io_context &context, Base::TimerService &timers, const ClientLimits &limits);
    ~Client();

    /// Calls `done` once; with a failure when there is no whole response within `timeout`.
    CallId send(const Ini::Endpoint &server, Request request, Base::Duration timeout, Callback done);

    /// Calls `progress` whenever a part of the response arrives, and `done` once; with a failure, and what
    /// has arrived of a response with status 200, when a limit is exceeded.
    CallId send(const Ini::Endpoint &server,
                Request request,
                const TimeLimits &limits,
                Progress progress,
                Callback done);

    /// Ends a call without calling back, if it is still in progress; its connection is closed. The server may
    /// have handled the request.
    void abandon(const Ini::Endpoint &server, CallId call);

    /// Closes the connections that have been idle for too long; those in use are kept.
    void closeIdle();

    /// Connections opened so far.
    std::uint64_t connectionsOpened() const;

private:
    class Connection;
    struct Server;
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace Http
