#include "client.h"

#include "readsteps.h"

#include <base/oneshottimer.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace Http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

// The parser bounds the header of a response, but neither its trailers nor the extensions of a chunk, and
// takes each of them only as a whole.
constexpr std::size_t MaxBufferBytes = 2 * MaxReadStep;

bool isNamed(const Field &field, std::string_view name)
{
    return beast::iequals(beast::string_view(field.name.data(), field.name.size()),
                          beast::string_view(name.data(), name.size()));
}

std::string_view valueOf(const std::vector<Field> &fields, std::string_view name)
{
    for (const Field &it : fields) {
        if (isNamed(it, name)) {
            return it.value;
        }
    }
    return {};
}

} // namespace

std::string_view Request::field(std::string_view name) const
{
    return valueOf(fields, name);
}

std::size_t Request::fieldCount(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(fields.begin(), fields.end(), [name](const Field &it) { return isNamed(it, name); }));
}

std::string_view Response::field(std::string_view name) const
{
    return valueOf(fields, name);
}

namespace
{

struct Exchange {
    CallId id;
    Request request;
    Base::Instant deadline;
    Base::Duration silence;
    Client::Progress progress;
    Client::Callback done;
};

} // namespace

struct Client::Server {
    Ini::Endpoint endpoint;
    std::vector<std::shared_ptr<Connection>> idle;
    std::map<CallId, std::weak_ptr<Connection>> calls; ///< in progress on a connection
    std::size_t open = 0;
    std::deque<Exchange> waiting;
};

class Client::Private : public std::enable_shared_from_this<Client::Private>
{
public:
    Private(asio::io_context &ioContext, Base::TimerService &timerService, const ClientLimits &clientLimits)
        : context(ioContext)
        , timers(timerService)
        , limits(clientLimits)
    {
    }

    void send(Server &server, Exchange exchange);
    void release(Server &server, const std::shared_ptr<Connection> &connection);
    void dropped(Server &server);
    void expireWaiting(Server &server);

    asio::io_context &context;
    Base::TimerService &timers;
    ClientLimits limits;
    std::map<Ini::Endpoint, Server> servers;
    std::uint64_t opened = 0;
    std::uint64_t lastCall = 0;
    bool isClosing = false;
};

class Client::Connection : public std::enable_shared_from_this<Client::Connection>
{
public:
    Connection(std::shared_ptr<Private> owner, Server &server)
        : m_owner(std::move(owner))
        , m_server(server)
        , m_socket(m_owner->context)
        , m_timer(m_owner->timers)
        , m_buffer(MaxBufferBytes)
    {
        m_buffer.reserve(MinReadStep);
    }

    void run(Exchange exchange)
    {
        m_exchange = std::move(exchange);
        m_server.calls[m_exchange->id] = weak_from_this();
        m_startedAt = m_owner->timers.now();
        m_firstByteAt.reset();
        m_parser.reset();
        m_wasSent = false;
        if (m_socket.is_open()) {
            armDeadline();
            write();
            return;
        }
        connect();
    }

    bool isIdleSince(Base::Instant when) const
    {
        return m_idleSince <= when;
    }

    void abandon()
    {
        endExchange();
        reset();
        m_owner->dropped(m_server);
    }

    void setIdleSince(Base::Instant when)
    {
        m_idleSince = when;
        m_timer.disarm();
    }

    // Bytes that a partition holds up would arrive once it is over, after the request has been given up.
    void reset()
    {
        boost::system::error_code ec;
        m_socket.set_option(tcp::socket::linger(true, 0), ec);
        close();
    }

    void close()
    {
        boost::system::error_code ec;
        m_socket.close(ec);
        m_timer.disarm();
    }

private:
    Callback endExchange()
    {
        m_server.calls.erase(m_exchange->id);
        Callback done = std::move(m_exchange->done);
        m_exchange.reset();
        return done;
    }

    void armDeadline()
    {
        const Base::Instant now = m_owner->timers.now();
        const bool isSilence = m_exchange->silence < m_exchange->deadline - now;
        m_timer.armAt(
            isSilence ? now + m_exchange->silence : m_exchange->deadline,
            [self = shared_from_this(), isSilence] { self->fail(isSilence ? "silence" : "timeout", true); });
    }

    void connect()
    {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(m_server.endpoint.ip, ec);
        if (ec) {
            fail("address: " + ec.message());
            return;
        }
        ++m_owner->opened;
        const auto limit =
            std::min(m_exchange->deadline, m_owner->timers.now() + m_owner->limits.connectTimeout);
        m_timer.armAt(limit, [self = shared_from_this()] { self->fail("connect: timeout", true); });
        m_socket.async_connect(
            {address, m_server.endpoint.port},
            [self = shared_from_this()](boost::system::error_code error) { self->connected(error); });
    }

    void connected(boost::system::error_code ec)
    {
        if (!m_exchange) {
            return;
        }
        if (ec) {
            fail("connect: " + ec.message());
            return;
        }
        m_socket.set_option(tcp::no_delay(true), ec);
        armDeadline();
        write();
    }

    void write()
    {
        m_request = {};
        m_request.version(11);
        m_request.method_string(m_exchange->request.method);
        m_request.target(m_exchange->request.target);
        bool hasHost = false;
        for (const Field &it : m_exchange->request.fields) {
            m_request.set(it.name, it.value);
            hasHost = hasHost || beast::iequals(it.name, "host");
        }
        if (!hasHost) {
            m_request.set(beast::http::field::host, Ini::toString(m_server.endpoint));
        }
        m_request.body() = std::move(m_exchange->request.body);
        m_request.prepare_payload();
        m_wasSent = true;
        beast::http::async_write(
            m_socket, m_request, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                self->written(ec);
            });
    }

    void written(boost::system::error_code ec)
    {
        if (!m_exchange) {
            return;
        }
        if (ec) {
            fail("send: " + ec.message());
            return;
        }
        std::string().swap(m_request.body()); // assigned, it would leave the memory allocated
        m_parser.emplace();
        m_parser->body_limit(m_owner->limits.responseLimit);
        m_parser->eager(true);
        readSome();
    }

    void readSome()
    {
        beast::http::async_read_some(
            m_socket,
            m_buffer,
            *m_parser,
            [self = shared_from_this()](boost::system::error_code ec, std::size_t) { self->read(ec); });
    }

    void read(boost::system::error_code ec)
    {
        if (!m_exchange) {
            return;
        }
        if (ec) {
            fail("receive: " + ec.message());
            return;
        }
        if (!m_firstByteAt) {
            m_firstByteAt = m_owner->timers.now();
        }
        if (!m_parser->is_done()) {
            if (m_exchange->progress) {
                m_exchange->progress(m_parser->get().body().size());
            }
            armDeadline();
            growForBody(m_buffer, *m_parser);
            readSome();
            return;
        }
        Outcome outcome = received();
        auto message = m_parser->release();
        shrinkAfterBody(m_buffer);
        outcome.verdict = Base::Verdict::Ran;
        outcome.response.emplace();
        outcome.response->status = message.result_int();
        for (const auto &it : message) {
            outcome.response->fields.push_back({std::string(it.name_string()), std::string(it.value())});
        }
        outcome.response->body = std::move(message.body());
        const bool isKept = message.keep_alive() && m_buffer.size() == 0;
        const auto done = endExchange();
        m_timer.disarm();
        if (isKept) {
            m_owner->release(m_server, shared_from_this());
        } else {
            close();
            m_owner->dropped(m_server);
        }
        done(std::move(outcome));
    }

    void fail(std::string failure, bool isTimeout = false)
    {
        if (!m_exchange) {
            return;
        }
        const auto done = endExchange();
        Outcome outcome = received();
        if (m_parser && m_parser->is_header_done() && m_parser->get().result_int() == 200) {
            outcome.partialBody = std::move(m_parser->get().body());
        }
        reset();
        m_owner->dropped(m_server);
        outcome.verdict = m_wasSent ? Base::Verdict::MayHaveRun : Base::Verdict::NotRun;
        outcome.failure = std::move(failure);
        outcome.isTimeout = isTimeout;
        done(std::move(outcome));
    }

    /// An outcome with what has been received so far.
    Outcome received() const
    {
        Outcome outcome;
        outcome.bytes = m_parser ? m_parser->get().body().size() : 0;
        if (m_firstByteAt) {
            outcome.firstByteAfter = *m_firstByteAt - m_startedAt;
        }
        return outcome;
    }

    std::shared_ptr<Private> m_owner;
    Server &m_server;
    tcp::socket m_socket;
    Base::OneShotTimer m_timer;
    beast::flat_buffer m_buffer;
    beast::http::request<beast::http::string_body> m_request;
    std::optional<beast::http::response_parser<beast::http::string_body>> m_parser;
    std::optional<Exchange> m_exchange;
    Base::Instant m_startedAt;
    std::optional<Base::Instant> m_firstByteAt;
    Base::Instant m_idleSince;
    bool m_wasSent = false;
};

void Client::Private::send(Server &server, Exchange exchange)
{
    const Base::Instant stale = timers.now() - limits.idleTimeout;
    while (!server.idle.empty()) {
        const auto connection = server.idle.back();
        server.idle.pop_back();
        if (!connection->isIdleSince(stale)) {
            connection->run(std::move(exchange));
            return;
        }
        connection->close();
        --server.open;
    }
    if (server.open < limits.connectionsPerServer) {
        ++server.open;
        std::make_shared<Connection>(shared_from_this(), server)->run(std::move(exchange));
        return;
    }
    server.waiting.push_back(std::move(exchange));
}

void Client::Private::release(Server &server, const std::shared_ptr<Connection> &connection)
{
    expireWaiting(server);
    if (!server.waiting.empty()) {
        Exchange next = std::move(server.waiting.front());
        server.waiting.pop_front();
        connection->run(std::move(next));
        return;
    }
    connection->setIdleSince(timers.now());
    server.idle.push_back(connection);
}

void Client::Private::dropped(Server &server)
{
    --server.open;
    expireWaiting(server);
    if (!server.waiting.empty() && !isClosing) {
        Exchange next = std::move(server.waiting.front());
        server.waiting.pop_front();
        send(server, std::move(next));
    }
}

// The connections' own timeouts bound how long a request waits here, so no timer of its own is needed.
void Client::Private::expireWaiting(Server &server)
{
    const Base::Instant now = timers.now();
    while (!server.waiting.empty() && server.waiting.front().deadline <= now) {
        auto done = std::move(server.waiting.front().done);
        server.waiting.pop_front();
        Outcome outcome;
        outcome.failure = "no free connection in time";
        done(std::move(outcome));
    }
}

Client::Client(asio::io_context &context, Base::TimerService &timers, const ClientLimits &limits)
    : d(std::make_shared<Private>(context, timers, limits))
{
}

Client::~Client()
{
    d->isClosing = true;
    for (auto &[endpoint, server] : d->servers) {
        for (const auto &it : server.idle) {
            it->close();
        }
        server.idle.clear();
    }
}

CallId Client::send(const Ini::Endpoint &server, Request request, Base::Duration timeout, Callback done)
{
    return send(server, std::move(request), {timeout, timeout}, {}, std::move(done));
}

CallId Client::send(
    const Ini::Endpoint &server, Request request, const TimeLimits &limits, Progress progress, Callback done)
{
    auto [it, isNew] = d->servers.try_emplace(server);
    if (isNew) {
        it->second.endpoint = server;
    }
    const CallId id{++d->lastCall};
    d->send(it->second,
            {id,
             std::move(request),
             d->timers.now() + limits.whole,
             limits.silence,
             std::move(progress),
             std::move(done)});
    return id;
}

void Client::abandon(const Ini::Endpoint &server, CallId call)
{
    const auto found = d->servers.find(server);
    if (found == d->servers.end()) {
        return;
    }
    Server &from = found->second;
    std::erase_if(from.waiting, [call](const Exchange &it) { return it.id == call; });
    const auto it = from.calls.find(call);
    if (const auto connection = it != from.calls.end() ? it->second.lock() : nullptr) {
        connection->abandon();
    }
}

void Client::closeIdle()
{
    const Base::Instant stale = d->timers.now() - d->limits.idleTimeout;
    for (auto &[endpoint, server] : d->servers) {
        auto &idle = server.idle;
        const auto kept = std::partition(
            idle.begin(), idle.end(), [stale](const auto &it) { return !it->isIdleSince(stale); });
        for (auto it = kept; it != idle.end(); ++it) {
            (*it)->close();
            --server.open;
        }
        idle.erase(kept, idle.end());
    }
}

std::uint64_t Client::connectionsOpened() const
{
    return d->opened;
}

} // namespace Http
