#include "httpclient_p.h"

#include "eventloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Platform::Internal
{

namespace
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Asio::ip::tcp;
using Error = boost::system::error_code;

constexpr unsigned Http11 = 11;

// The parser bounds neither the trailers of an answer nor the extensions of a chunk, and takes each of them
// only as a whole. One read takes up to half of this.
constexpr std::size_t MaxBufferBytes = 131'072;
constexpr const char *RequestIdHeader = "X-Request-Id";

/// One call on its way: answered once, by whichever of its connection and its timer comes first.
struct Exchange {
    std::uint64_t id = 0; ///< within its connection
    HttpCall call;
    HttpCallback callback;
    Base::Instant deadline;
    Base::TimerId timer;
};

/// One TCP connection, from connecting to closed; it is not opened again.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    struct Events {
        std::function<void(HttpCall, HttpCallback)>
            onUnsent; ///< a call not written before the connection broke
        std::function<void()> onSilence; ///< an answer is overdue
    };

    Connection(Asio::io_context &context,
               Base::TimerService &timers,
               const HttpSettings &settings,
               HttpLane lane,
               Events events)
        : m_timers(timers)
        , m_settings(settings)
        , m_lane(lane)
        , m_events(std::move(events))
        , m_socket(context)
    {
    }

    HttpLane lane() const
    {
        return m_lane;
    }

    bool isClosed() const
    {
        return m_state == State::Closed;
    }

    std::size_t load() const
    {
        return m_unsent.size() + m_inFlight.size();
    }

    void open()
    {
        Error ec;
        const auto address = Asio::ip::make_address(m_settings.host, ec);
        if (ec) {
            Asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
            return;
        }
        m_connectTimer = m_timers.subscribeAfter(m_settings.connectTimeout, [self = weak_from_this()] {
            if (const auto it = self.lock()) {
                it->close();
            }
        });
        m_socket.async_connect(tcp::endpoint(address, m_settings.port),
                               [self = shared_from_this()](Error error) { self->onConnected(error); });
    }

    void send(HttpCall call, HttpCallback callback)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->id = ++m_lastId;
        exchange->call = std::move(call);
        exchange->callback = std::move(callback);
        exchange->timer = m_timers.subscribeAfter(exchange->call.timeout,
                                                  [self = weak_from_this(), weak = std::weak_ptr(exchange)] {
                                                      const auto it = self.lock();
                                                      const auto late = weak.lock();
                                                      if (it && late) {
                                                          it->onTimeout(late);
                                                      }
                                                  });
        m_unsent.push_back(std::move(exchange));
        writeNext();
    }

    /// Closes without calling anybody back.
    void abandon()
    {
        for (const auto &it : m_unsent) {
            m_timers.cancel(it->timer);
        }
        for (const auto &it : m_inFlight) {
            m_timers.cancel(it->timer);
        }
        m_unsent.clear();
        m_inFlight.clear();
        m_events = {};
        close();
    }

private:
    using ExchangePtr = std::shared_ptr<Exchange>;
    enum class State { Connecting, Open, Closed };

    void onConnected(Error ec)
    {
        if (!hasWoken()) {
            return;
        }
        m_timers.cancel(m_connectTimer);
        if (ec) {
            close();
            return;
        }
        m_state = State::Open;
        Error ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        readNext();
        writeNext();
    }

    /// To be asked first by each handler; false when there is nothing left to do. A closed connection may
    /// have outlived the timer service.
    bool hasWoken()
    {
        if (!isClosed()) {
            advanceToNow(m_timers);
        }
        return !isClosed();
    }

    void writeNext()
    {
        if (m_state != State::Open || m_isWriting || m_unsent.empty()) {
            return;
        }
        m_isWriting = true;
        m_inFlight.push_back(std::move(m_unsent.front()));
        m_unsent.pop_front();
        setRequest(*m_inFlight.back());
        Http::async_write(
            m_socket, m_request, [self = shared_from_this()](Error ec, std::size_t) { self->onWritten(ec); });
    }

    void setRequest(Exchange &exchange)
    {
        HttpCall &call = exchange.call;
        m_request = {};
        m_request.version(Http11);
        m_request.method(call.verb == HttpVerb::Get ? Http::verb::get : Http::verb::post);
        m_request.target(call.path);
        m_request.set(Http::field::host, m_settings.host);
        m_request.set(RequestIdHeader, std::to_string(exchange.id));
        if (call.verb == HttpVerb::Post) {
            m_request.set(Http::field::content_type, "application/json");
            m_request.body() = std::move(call.body);
        }
        m_request.prepare_payload();
    }

    void onWritten(Error ec)
    {
        m_isWriting = false;
        if (!hasWoken()) {
            return;
        }
        if (ec) {
            close();
            return;
        }
        writeNext();
    }

    // Reads also while nothing is in flight: so the server's closing is seen before the next call is written.
    void readNext()
    {
        m_parser.emplace();
        m_parser->body_limit(m_settings.maxAnswerBytes);
        Http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](Error ec, std::size_t) {
            self->onRead(ec);
        });
    }

    void onRead(Error ec)
    {
        if (!hasWoken()) {
            return;
        }
        if (ec || m_inFlight.empty() || !isAnswerTo(*m_inFlight.front())) {
            close();
            return;
        }
        const ExchangePtr answered = std::move(m_inFlight.front());
        m_inFlight.pop_front();
        const bool isKept = m_parser->get().keep_alive();
        HttpReply reply{
            HttpDelivery::Answered, m_parser->get().result_int(), std::move(m_parser->get().body())};
        if (isKept) {
            readNext();
        } else {
            close();
        }
        finish(*answered, std::move(reply));
    }

    // A server that repeats an answer would shift all that follow it by one.
    bool isAnswerTo(const Exchange &exchange) const
    {
        const auto it = m_parser->get().find(RequestIdHeader);
        return it == m_parser->get().end() || it->value() == std::to_string(exchange.id);
    }

    // An answer that is late once may come at any time: nothing on this connection can be told apart any
    // more.
    void onTimeout(const ExchangePtr &late)
    {
        const auto it = std::find(m_unsent.begin(), m_unsent.end(), late);
        if (it == m_unsent.end()) {
            if (m_events.onSilence) {
                m_events.onSilence();
            }
            close();
            return;
        }
        m_unsent.erase(it);
        finish(*late, {HttpDelivery::NotSent, 0, {}});
    }

    void close()
    {
        if (isClosed()) {
            return;
        }
        const bool wasOpen = m_state == State::Open;
        m_state = State::Closed;
        m_timers.cancel(m_connectTimer);
        Error ignored;
        m_socket.close(ignored);
        const auto lost = std::exchange(m_inFlight, {});
        const auto unsent = std::exchange(m_unsent, {});
        for (const auto &it : lost) {
            finish(*it, {HttpDelivery::Lost, 0, {}});
        }
        for (const auto &it : unsent) {
            giveBack(*it, wasOpen);
        }
    }

    void giveBack(Exchange &exchange, bool wasOpen)
    {
        if (wasOpen && m_events.onUnsent) {
            m_timers.cancel(exchange.timer);
            exchange.call.timeout = exchange.deadline - m_timers.now();
            m_events.onUnsent(std::move(exchange.call), std::move(exchange.callback));
        } else {
            finish(exchange, {HttpDelivery::NotSent, 0, {}});
        }
    }

    void finish(Exchange &exchange, HttpReply reply)
    {
        m_timers.cancel(exchange.timer);
        if (const auto callback = std::exchange(exchange.callback, nullptr)) {
            callback(std::move(reply));
        }
    }

    Base::TimerService &m_timers;
    const HttpSettings &m_settings;
    HttpLane m_lane;
    Events m_events;
    tcp::socket m_socket;
    State m_state = State::Connecting;
    Base::TimerId m_connectTimer;
    std::uint64_t m_lastId = 0;
    std::deque<ExchangePtr> m_unsent;
    std::deque<ExchangePtr> m_inFlight; ///< in the order written, so of the answers
    bool m_isWriting = false;
    Http::request<Http::string_body> m_request;
    Beast::flat_buffer m_buffer{MaxBufferBytes};
    std::optional<Http::response_parser<Http::string_body>> m_parser;
};

} // namespace

class HttpClient::Pool : public std::enable_shared_from_this<HttpClient::Pool>
{
public:
    Pool(Asio::io_context &context, Base::TimerService &timers, HttpSettings settings)
        : m_context(context)
        , m_timers(timers)
        , m_settings(std::move(settings))
    {
    }

    void send(HttpCall call, HttpCallback callback)
    {
        const auto connection = connectionFor(call.lane);
        if (connection->load() >= m_settings.maxQueuedRequests) {
            Asio::post(m_context, [self = weak_from_this(), callback = std::move(callback)] {
                if (!self.expired()) {
                    callback({HttpDelivery::NotSent, 0, {}});
                }
            });
            return;
        }
        connection->send(std::move(call), std::move(callback));
    }

    void abandon()
    {
        for (const auto &it : m_connections) {
            it->abandon();
        }
        m_connections.clear();
    }

private:
    using ConnectionPtr = std::shared_ptr<Connection>;

    ConnectionPtr connectionFor(HttpLane lane)
    {
        std::erase_if(m_connections, [](const ConnectionPtr &it) { return it->isClosed(); });
        std::size_t count = 0;
        ConnectionPtr best;
        for (const ConnectionPtr &it : m_connections) {
            if (it->lane() != lane) {
                continue;
            }
            ++count;
            if (!best || it->load() < best->load()) {
                best = it;
            }
        }
        const bool mayOpen = lane == HttpLane::Exclusive || count < m_settings.pipelinedConnections;
        return best && (best->load() == 0 || !mayOpen) ? best : openConnection(lane);
    }

    Connection::Events events()
    {
        return {[self = weak_from_this()](HttpCall call, HttpCallback callback) {
                    if (const auto it = self.lock()) {
                        it->send(std::move(call), std::move(callback));
                    }
                },
                [self = weak_from_this()] {
                    if (const auto it = self.lock()) {
                        it->dropIdle();
                    }
                }};
    }

    // What has made one connection silent has often done so to all that were open then.
    void dropIdle()
    {
        for (const ConnectionPtr &it : m_connections) {
            if (it->load() == 0) {
                it->abandon();
            }
        }
    }

    ConnectionPtr openConnection(HttpLane lane)
    {
        auto connection = std::make_shared<Connection>(m_context, m_timers, m_settings, lane, events());
        m_connections.push_back(connection);
        connection->open();
        return connection;
    }

    Asio::io_context &m_context;
    Base::TimerService &m_timers;
    HttpSettings m_settings;
    std::vector<ConnectionPtr> m_connections;
};

HttpClient::HttpClient(Asio::io_context &context, Base::TimerService &timers, HttpSettings settings)
    : m_pool(std::make_shared<Pool>(context, timers, std::move(settings)))
{
}

HttpClient::~HttpClient()
{
    m_pool->abandon();
}

void HttpClient::send(HttpCall call, HttpCallback callback)
{
    m_pool->send(std::move(call), std::move(callback));
}

} // namespace Platform::Internal
