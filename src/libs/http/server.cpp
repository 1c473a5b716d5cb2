#include "server.h"

#include "readsteps.h"

#include <base/logline.h>
#include <base/oneshottimer.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
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

// Closing a socket with unread data resets the connection, and the client could lose the answer to what it
// has sent. So its input is discarded for a while.
constexpr Base::Duration LingerTimeout = std::chrono::seconds{1};
constexpr std::size_t LingerBytes = 1U << 20U;

constexpr std::size_t FieldOverhead = 128; // bytes that each field takes besides its name and value

/// RFC 9110, section 15.6.4: nothing has run, the request may be sent again.
Response unavailable()
{
    return {.status = 503, .fields = {{"Retry-After", "1"}}};
}

/// What the fields of a message take.
template<typename Fields>
std::size_t sizeOf(const Fields &fields)
{
    std::size_t bytes = 0;
    for (const auto &it : fields) {
        bytes += it.name_string().size() + it.value().size() + FieldOverhead;
    }
    return bytes;
}

} // namespace

class Server::Private : public std::enable_shared_from_this<Server::Private>
{
public:
    Private(asio::io_context &ioContext,
            Base::TimerService &timerService,
            const ServerLimits &serverLimits,
            Handler requestHandler,
            std::shared_ptr<ConnectionGuard> connectionGuard)
        : context(ioContext)
        , timers(timerService)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , acceptor(ioContext)
        , acceptTimer(timerService)
        , guard(connectionGuard ? std::move(connectionGuard)
                                : std::make_shared<ConnectionGuard>(timerService))
        , door(guard->addDoor())
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
    std::shared_ptr<ConnectionGuard> guard;
    ConnectionGuard::Door door;
    std::array<char, MinReadStep> discarded{}; ///< input of connections that linger
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
        // A connection that no parser could read further holds this much.
        , m_buffer(m_server->limits.headerLimit + MaxReadStep)
    {
        m_buffer.reserve(MinReadStep);
        m_server->sessions.insert(this);
    }

    ~Session()
    {
        m_server->sessions.erase(this);
        m_server->guard->remove(m_id);
        if (m_isHandling) {
            --m_server->inFlight;
        }
    }

    void start()
    {
        m_id = m_server->guard->add(m_server->door, [weak = weak_from_this()](ShedReason reason) {
            if (const auto self = weak.lock()) {
                self->shed(reason);
            }
        });
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
        // A pending write needs its answer until it ends.
        if (!m_isHandling) {
            m_server->guard->remove(m_id);
        }
    }

    void readRequest()
    {
        m_hasStarted = m_buffer.size() > 0;
        m_headerBytes = 0;
        m_parser.emplace();
        m_parser->header_limit(m_server->limits.headerLimit);
        m_parser->body_limit(m_server->limits.bodyLimit);
        m_parser->eager(true);
        const auto &limits = m_server->limits;
        m_timer.arm(m_hasStarted ? limits.headerTimeout : limits.idleTimeout,
                    [weak = weak_from_this()] { closeIfAlive(weak); });
        if (m_hasStarted) {
            parse();
        } else {
            m_server->guard->hold(m_id, Base::Holding::Nothing);
            readSome();
        }
    }

    static void closeIfAlive(const std::weak_ptr<Session> &weak)
    {
        if (const auto self = weak.lock()) {
            self->close();
        }
    }

    void readSome()
    {
        growForBody(m_buffer, *m_parser);
        const std::size_t room = m_buffer.capacity() - m_buffer.size();
        m_isReading = true;
        m_socket.async_read_some(m_buffer.prepare(std::clamp(room, MinReadStep, MaxReadStep)),
                                 [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                                     self->m_isReading = false;
                                     self->read(ec, n);
                                 });
    }

    void read(boost::system::error_code ec, std::size_t n)
    {
        if (m_isShed) {
            refuseShed();
            return;
        }
        if (ec) {
            close();
            return;
        }
        if (!m_hasStarted) {
            m_hasStarted = true;
            m_timer.arm(m_server->limits.headerTimeout, [weak = weak_from_this()] { closeIfAlive(weak); });
        }
        m_buffer.commit(n);
        parse();
    }

    void parse()
    {
        boost::system::error_code ec;
        while (m_buffer.size() > 0 && !m_parser->is_done() && !ec) {
            m_buffer.consume(m_parser->put(m_buffer.data(), ec));
        }
        if (ec && ec != beast::http::error::need_more) {
            refuse(ec);
            return;
        }
        if (m_headerBytes == 0 && m_parser->is_header_done()) {
            m_headerBytes = sizeOf(m_parser->get());
        }
        if (m_parser->is_done()) {
            handle();
            return;
        }
        // The parser bounds a header, but neither trailers nor the extensions of a chunk, and takes each of
        // them only as a whole.
        if (m_buffer.size() > m_server->limits.headerLimit) {
            refuse(beast::http::error::header_limit);
            return;
        }
        m_server->guard->hold(m_id,
                              Base::Holding::Receiving,
                              m_buffer.capacity() + m_headerBytes + m_parser->get().body().size());
        if (m_isShed) {
            refuseShed();
        } else {
            readSome();
        }
    }

    // A pending read needs the buffer until it ends.
    void shed(ShedReason reason)
    {
        if (reason != ShedReason::Receiving) {
            close();
            return;
        }
        m_isShed = true;
        m_parser.reset();
        if (m_isReading) {
            boost::system::error_code ec;
            m_socket.cancel(ec);
        }
    }

    void refuseShed()
    {
        respondAndClose(unavailable());
    }

    // The rest of what such a connection holds can't be told apart into requests, so it is closed after one
    // answer.
    void refuse(boost::system::error_code ec)
    {
        using Error = beast::http::error;
        Response response{.status = 400, .body = ec.message()};
        RefusalReason reason = RefusalReason::Malformed;
        if (ec == Error::body_limit) {
            response.status = 413;
            reason = RefusalReason::BodyTooLarge;
        } else if (ec == Error::header_limit) {
            response.status = 431;
            reason = RefusalReason::HeaderTooLarge;
        }
        m_server->guard->noteRefusal(reason);
        respondAndClose(std::move(response));
    }

    void respondAndClose(Response response)
    {
        m_parser.reset();
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_isKept = false;
        m_isLingering = true;
        m_isHandling = true;
        ++m_server->inFlight;
        respond(std::move(response));
    }

    void handle()
    {
        m_timer.disarm();
        auto message = m_parser->release();
        m_parser.reset();
        shrinkAfterBody(m_buffer);
        m_isKept = message.keep_alive();
        m_isHandling = true;
        ++m_server->inFlight;
        const std::size_t bytes = sizeOf(message) + message.body().size() + m_buffer.capacity();
        if (!m_server->guard->budget().canHandle(bytes)) {
            m_server->guard->noteRefusal(RefusalReason::NoMemory);
            respond(unavailable());
            return;
        }
        m_server->guard->hold(m_id, Base::Holding::Handling, bytes);
        Request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &it : message) {
            request.fields.push_back({std::string(it.name_string()), std::string(it.value())});
        }
        request.body = std::move(message.body());
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
        m_response.emplace();
        m_response->version(11);
        m_response->result(response.status);
        for (const Field &it : response.fields) {
            m_response->set(it.name, it.value);
        }
        m_response->body() = std::move(response.body);
        m_isKept = m_isKept && !m_server->isDraining;
        m_response->keep_alive(m_isKept);
        m_response->prepare_payload();
        m_timer.arm(m_server->limits.headerTimeout, [weak = weak_from_this()] { closeIfAlive(weak); });
        beast::http::async_write(
            m_socket, *m_response, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                self->responded(ec);
            });
        m_server->guard->hold(m_id, Base::Holding::Sending, m_response->body().size());
    }

    void responded(boost::system::error_code ec)
    {
        m_isHandling = false;
        --m_server->inFlight;
        m_response.reset(); // an empty string that is assigned leaves the memory of the body allocated
        if (!ec && m_isLingering) {
            linger();
            return;
        }
        if (ec || !m_isKept || m_server->isDraining) {
            close();
            return;
        }
        readRequest();
    }

    void linger()
    {
        m_server->guard->hold(m_id, Base::Holding::Nothing);
        m_hasStarted = false;
        boost::system::error_code ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        m_timer.arm(LingerTimeout, [weak = weak_from_this()] { closeIfAlive(weak); });
        discardInput();
    }

    void discardInput()
    {
        m_socket.async_read_some(asio::buffer(m_server->discarded),
                                 [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                                     self->m_discardedBytes += n;
                                     if (ec || self->m_discardedBytes > LingerBytes) {
                                         self->close();
                                     } else {
                                         self->discardInput();
                                     }
                                 });
    }

    std::shared_ptr<Private> m_server;
    tcp::socket m_socket;
    Base::OneShotTimer m_timer;
    ConnectionGuard::Id m_id = 0;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::request_parser<beast::http::string_body>> m_parser;
    std::optional<beast::http::response<beast::http::string_body>> m_response;
    std::size_t m_headerBytes = 0;
    std::size_t m_discardedBytes = 0;
    bool m_hasStarted = false; ///< bytes of the next request are here
    bool m_isReading = false;
    bool m_isHandling = false;
    bool m_isKept = true;
    bool m_isShed = false; ///< the request is given up and gets one answer
    bool m_isLingering = false; ///< what follows the answer is discarded
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
        if (self->sessions.size() < self->limits.connections && self->guard->makeRoom()) {
            std::make_shared<Session>(self, std::move(socket))->start();
        }
        self->accept();
    });
}

Server::Server(asio::io_context &context,
               Base::TimerService &timers,
               const Ini::Endpoint &address,
               const ServerLimits &limits,
               Handler handler,
               std::shared_ptr<ConnectionGuard> guard)
    : d(std::make_shared<Private>(context, timers, limits, std::move(handler), std::move(guard)))
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
