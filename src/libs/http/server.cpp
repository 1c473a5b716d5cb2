#include "server.h"

#include "readsteps.h"

#include <base/logline.h>
#include <base/oneshottimer.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <unordered_set>
#include <utility>

namespace Http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

// After a failed accept, which mostly means that descriptors have run out.
constexpr Base::Duration AcceptPause = std::chrono::milliseconds{50};

} // namespace

class Server::Private : public std::enable_shared_from_this<Server::Private>
{
public:
    Private(asio::io_context &ioContext,
            Base::TimerService &timerService,
            const ServerLimits &serverLimits,
            Handler requestHandler)
        : context(ioContext)
        , timers(timerService)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , acceptor(ioContext)
        , acceptTimer(timerService)
    {
    }

    void listen(const Ini::Endpoint &address)
    {
        const tcp::endpoint endpoint{asio::ip::make_address(address.ip), address.port};
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
        port = acceptor.local_endpoint().port();
    }

    void accept();

    asio::io_context &context;
    Base::TimerService &timers;
    ServerLimits limits;
    Handler handler;
    tcp::acceptor acceptor;
    Base::OneShotTimer acceptTimer;
    std::unordered_set<Session *> sessions;
    std::size_t inFlight = 0;
    std::uint16_t port = 0;
    bool isDraining = false;
};

class Server::Session : public std::enable_shared_from_this<Server::Session>
{
public:
    Session(std::shared_ptr<Private> server, tcp::socket socket)
        : m_server(std::move(server))
        , m_socket(std::move(socket))
        , m_timer(m_server->timers)
    {
        m_buffer.reserve(MinReadStep);
        m_server->sessions.insert(this);
    }

    ~Session()
    {
        m_server->sessions.erase(this);
        if (m_isHandling) {
            --m_server->inFlight;
        }
    }

    void start()
    {
        boost::system::error_code ec;
        m_socket.set_option(tcp::no_delay(true), ec);
        readRequest();
    }

    void closeIfIdle()
    {
        if (!m_isHandling && !m_hasStarted) {
            close();
        }
    }

private:
    void close()
    {
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_both, ec);
        m_socket.close(ec);
        m_timer.disarm();
    }

    void readRequest()
    {
        m_hasStarted = m_buffer.size() > 0;
        m_parser.emplace();
        m_parser->header_limit(m_server->limits.headerLimit);
        m_parser->body_limit(m_server->limits.bodyLimit);
        const auto &limits = m_server->limits;
        m_timer.arm(m_hasStarted ? limits.headerTimeout : limits.idleTimeout,
                    [weak = weak_from_this()] { closeIfAlive(weak); });
        beast::http::async_read_some(
            m_socket,
            m_buffer,
            *m_parser,
            [self = shared_from_this()](boost::system::error_code ec, std::size_t) { self->readMore(ec); });
    }

    static void closeIfAlive(const std::weak_ptr<Session> &weak)
    {
        if (const auto self = weak.lock()) {
            self->close();
        }
    }

    void readMore(boost::system::error_code ec)
    {
        if (ec) {
            refuse(ec);
            return;
        }
        if (m_parser->is_done()) {
            handle();
            return;
        }
        if (!m_hasStarted) {
            m_hasStarted = true;
            m_timer.arm(m_server->limits.headerTimeout, [weak = weak_from_this()] { closeIfAlive(weak); });
        }
        growForBody(m_buffer, *m_parser);
        beast::http::async_read(m_socket,
                                m_buffer,
                                *m_parser,
                                [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                                    if (error) {
                                        self->refuse(error);
                                    } else {
                                        self->handle();
                                    }
                                });
    }

    // The rest of what such a connection holds can't be told apart into requests, so it is closed after one
    // answer.
    void refuse(boost::system::error_code ec)
    {
        using Error = beast::http::error;
        unsigned status = 0;
        if (ec == Error::body_limit) {
            status = 413;
        } else if (ec == Error::header_limit) {
            status = 431;
        } else if (ec != Error::end_of_stream && ec != Error::partial_message
                   && ec.category() == beast::http::make_error_code(Error::bad_method).category()) {
            status = 400;
        }
        if (status == 0) {
            close();
            return;
        }
        Response response;
        response.status = status;
        response.body = ec.message();
        m_isKept = false;
        m_isHandling = true;
        ++m_server->inFlight;
        respond(std::move(response));
    }

    void handle()
    {
        m_timer.disarm();
        auto message = m_parser->release();
        shrinkAfterBody(m_buffer);
        Request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &it : message) {
            request.fields.push_back({std::string(it.name_string()), std::string(it.value())});
        }
        request.body = std::move(message.body());
        m_isKept = message.keep_alive();
        m_isHandling = true;
        ++m_server->inFlight;
        // RFC 9112, section 6.1: the body's end can't be found, so nothing after this request can be read.
        const auto coding = message.find(beast::http::field::transfer_encoding);
        if (coding != message.end() && !beast::iequals(coding->value(), "chunked")) {
            m_isKept = false;
            respond({.status = 501});
            return;
        }
        m_server->handler(std::move(request), [self = shared_from_this()](Response response) {
            if (self->m_isHandling) {
                self->respond(std::move(response));
            }
        });
    }

    void respond(Response response)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(response.status);
        for (const Field &it : response.fields) {
            m_response.set(it.name, it.value);
        }
        m_response.body() = std::move(response.body);
        m_isKept = m_isKept && !m_server->isDraining;
        m_response.keep_alive(m_isKept);
        m_response.prepare_payload();
        m_timer.arm(m_server->limits.headerTimeout, [weak = weak_from_this()] { closeIfAlive(weak); });
        beast::http::async_write(
            m_socket, m_response, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                self->responded(ec);
            });
    }

    void responded(boost::system::error_code ec)
    {
        m_isHandling = false;
        --m_server->inFlight;
        if (ec || !m_isKept || m_server->isDraining) {
            close();
            return;
        }
        readRequest();
    }

    std::shared_ptr<Private> m_server;
    tcp::socket m_socket;
    Base::OneShotTimer m_timer;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    beast::http::response<beast::http::string_body> m_response;
    bool m_hasStarted = false; ///< bytes of the next request are here
    bool m_isHandling = false;
    bool m_isKept = true;
};

void Server::Private::accept()
{
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, tcp::socket socket) {
        if (!self->acceptor.is_open()) {
            return;
        }
        if (ec) {
            Base::LogLine(Base::LogLevel::Warning, "accept-failed").with("error", ec.message());
            self->acceptTimer.arm(AcceptPause, [self] { self->accept(); });
            return;
        }
        if (self->sessions.size() < self->limits.connections) {
            std::make_shared<Session>(self, std::move(socket))->start();
        }
        self->accept();
    });
}

Server::Server(asio::io_context &context,
               Base::TimerService &timers,
               const Ini::Endpoint &address,
               const ServerLimits &limits,
               Handler handler)
    : d(std::make_shared<Private>(context, timers, limits, std::move(handler)))
{
    d->listen(address);
    d->accept();
}

Server::~Server()
{
    drain();
}

void Server::drain()
{
    d->isDraining = true;
    d->acceptTimer.disarm();
    boost::system::error_code ec;
    d->acceptor.close(ec);
    const auto sessions = d->sessions;
    for (Session *it : sessions) {
        if (d->sessions.count(it) > 0) {
            const auto kept = it->shared_from_this();
            kept->closeIfIdle();
        }
    }
}

std::size_t Server::inFlight() const
{
    return d->inFlight;
}

std::uint16_t Server::port() const
{
    return d->port;
}

} // namespace Http
