#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace PlatformStandin
{

struct Request {
    bool isPost = false;
    std::string target;
    std::string body;
};

enum class Delivery {
    Once,
    Twice, ///< the same answer two times
    Dropped, ///< the connection closes in its place
};

struct Reply {
    unsigned status = 200;
    std::string body;
    Delivery delivery = Delivery::Once;
};
using ReplyCallback = std::function<void(Reply)>;

/// Serves HTTP/1.1 with kept connections; the requests of one connection are handled one after another.
class HttpServer
{
public:
    using Handler = std::function<void(Request, ReplyCallback)>;

    /// Listens on loopback at `port`, 0 for any. The handler may answer later, once.
    HttpServer(boost::asio::io_context &context, std::uint16_t port, Handler handler);

    std::uint16_t port() const;

    /// The connections open now stay open, and nothing is read or answered on them any more.
    void silenceOpenConnections();

private:
    class Session;

    void acceptNext();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::vector<std::weak_ptr<Session>> m_sessions;
    std::vector<std::shared_ptr<Session>> m_silenced; ///< kept, so that they stay open
};

} // namespace PlatformStandin
