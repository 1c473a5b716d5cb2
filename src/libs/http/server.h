#pragma once

#include "connectionguard.h"
#include "message.h"

#include <base/timerservice.h>
#include <ini/values.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace Http
{

struct ServerLimits {
    std::size_t connections = 2000; ///< further ones are closed at once
    std::uint32_t headerLimit = 16U << 10U; ///< bytes; as many of trailers, and of a chunk's extensions
    std::size_t bodyLimit = 1U << 20U; ///< bytes
    Base::Duration headerTimeout = std::chrono::seconds{3}; ///< from the first byte to the whole request
    Base::Duration idleTimeout = std::chrono::seconds{60}; ///< between two requests
};

/// Sends the response of one request; called once, now or later. Dropped without a call, it closes the
/// connection.
using Responder = std::function<void(Response)>;

/// Takes requests on one address and hands them to a handler, one at a time for each connection.
class Server
{
public:
    using Handler = std::function<void(Request, Responder)>;

    /// Throws boost::system::system_error when the address can't be listened on. Without a guard, which
    /// servers may share, only `limits` hold.
    Server(boost::asio::io_context &context,
           Base::TimerService &timers,
           const Ini::Endpoint &address,
           const ServerLimits &limits,
           Handler handler,
           std::shared_ptr<ConnectionGuard> guard = nullptr);
    ~Server();

    /// Accepts no more connections and closes those that are idle; requests in flight are answered.
    void drain();

    /// Requests that have no response yet.
    std::size_t inFlight() const;
    std::uint16_t port() const;

private:
    class Session;
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace Http
