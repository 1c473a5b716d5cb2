#include "targetserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace TargetStandin
{

namespace
{

constexpr std::uint64_t LargestBody = 256ULL * 1024 * 1024;
constexpr std::size_t ChunkBytes = 1000;

std::uint32_t numberOr(std::string_view text, std::uint32_t fallback)
{
    return text.empty() ? fallback
                        : static_cast<std::uint32_t>(std::strtoul(std::string(text).c_str(), nullptr, 10));
}

std::string_view queryValue(std::string_view target, std::string_view key)
{
    const auto start = target.find('?');
    std::string_view query = start == std::string_view::npos ? std::string_view{} : target.substr(start + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == key) {
            return pair.substr(equals + 1);
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

Behaviour behaviourFor(std::string_view target, const Behaviour &defaults)
{
    Behaviour behaviour = defaults;
    if (const auto fault = queryValue(target, "fault"); !fault.empty()) {
        behaviour.fault = std::string(fault);
    }
    behaviour.delay = numberOr(queryValue(target, "delay"), defaults.delay);
    behaviour.size = numberOr(queryValue(target, "size"), defaults.size);
    behaviour.isChunked = queryValue(target, "chunked") == "1" || defaults.isChunked;
    return behaviour;
}

class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, Behaviour &defaults, Counters &counters)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_defaults(defaults)
        , m_counters(counters)
    {
        ++m_counters.connections;
        ++m_counters.openConnections;
        m_counters.mostOpenConnections = std::max(m_counters.mostOpenConnections, m_counters.openConnections);
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    ~Session()
    {
        --m_counters.openConnections;
        endExecution();
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(LargestBody);
        http::async_read_header(
            m_socket, m_buffer, *m_parser, [self = shared_from_this()](auto ec, std::size_t) {
                if (!ec) {
                    self->onHeader();
                }
            });
    }

private:
    void onHeader()
    {
        const auto &request = m_parser->get();
        m_behaviour = behaviourFor({request.target().data(), request.target().size()}, m_defaults);
        if (m_behaviour.fault == "early") {
            m_isLast = true;
            respond();
            return;
        }
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](auto ec, std::size_t) {
            if (!ec) {
                self->onRequest();
            }
        });
    }

    void onRequest()
    {
        const std::string target(m_parser->get().target());
        if (target.starts_with("/control/")) {
            control(target);
            return;
        }
        if (m_behaviour.fault == "refuse") {
            write("HTTP/1.1 503 Service Unavailable\r\nRhubarbcrank-Verdict: not-run\r\nContent-Length: "
                  "0\r\n\r\n");
            return;
        }
        beginExecution();
        if (m_behaviour.delay == 0) {
            respond();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds{m_behaviour.delay});
        m_timer.async_wait([self = shared_from_this()](auto) { self->respond(); });
    }

    void beginExecution()
    {
        m_isExecuting = true;
        ++m_counters.executions;
        ++m_counters.inFlight;
        m_counters.mostInFlight = std::max(m_counters.mostInFlight, m_counters.inFlight);
        const auto &request = m_parser->get();
        for (const char *it : {"Idempotency-Key", "X-Request"}) {
            if (const auto key = request[it]; !key.empty()) {
                ++m_counters.executionsByKey[std::string(key)];
            }
        }
    }

    void endExecution()
    {
        if (m_isExecuting) {
            --m_counters.inFlight;
            m_isExecuting = false;
        }
    }

    // The body repeats the request's own marker, so that an answer that reached another caller is noticed.
    std::string body() const
    {
        std::string text = std::string(m_parser->get()["X-Request"]);
        text += '\n';
        while (text.size() < m_behaviour.size) {
            text += "rhubarb";
        }
        text.resize(std::max<std::size_t>(m_behaviour.size, 1));
        return text;
    }

    static std::string chunked(std::string_view body)
    {
        std::string text;
        while (!body.empty()) {
            const auto piece = body.substr(0, ChunkBytes);
            text += fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
            body.remove_prefix(piece.size());
        }
        return text + "0\r\n\r\n";
    }

    std::string answer() const
    {
        const std::string text = body();
        const bool isHead = m_parser->get().method() == http::verb::head;
        const std::string_view status = m_behaviour.fault == "error" ? "500 Internal Server Error" : "200 OK";
        if (m_behaviour.fault == "eof") {
            return fmt::format("HTTP/1.1 {}\r\nConnection: close\r\n\r\n{}", status, text);
        }
        if (m_behaviour.isChunked) {
            return fmt::format("HTTP/1.1 {}\r\nTransfer-Encoding: chunked\r\n\r\n{}", status, chunked(text));
        }
        return fmt::format(
            "HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", status, text.size(), isHead ? "" : text);
    }

    void respond()
    {
        const std::string &fault = m_behaviour.fault;
        if (fault == "stall") {
            holdSilently();
        } else if (fault == "close") {
            endExecution();
        } else if (fault == "garbage") {
            m_isLast = true;
            write("rhubarb rhubarb rhubarb\r\n\r\n");
        } else if (fault == "truncate") {
            m_isLast = true;
            const std::string text = answer();
            write(text.substr(0, text.size() - body().size() / 2 - 1));
        } else if (fault == "half") {
            m_isSilentAfterwards = true;
            const std::string text = answer();
            write(text.substr(0, text.size() - body().size() / 2 - 1));
        } else if (fault == "extra") {
            write(answer() + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
        } else if (fault == "slow") {
            writeSlowly(answer());
        } else {
            m_isLast = m_isLast || fault == "eof";
            write(answer());
        }
    }

    // The timer keeps the session, and so the connection, without a byte.
    void holdSilently()
    {
        m_timer.expires_after(std::chrono::hours{1});
        m_timer.async_wait([self = shared_from_this()](auto) {});
    }

    void writeSlowly(std::string text)
    {
        m_text = std::move(text);
        m_position = 0;
        writeOneByte();
    }

    void writeOneByte()
    {
        if (m_position == m_text.size()) {
            onWritten();
            return;
        }
        asio::async_write(m_socket,
                          asio::buffer(m_text.data() + m_position, 1),
                          [self = shared_from_this()](auto ec, std::size_t) {
                              if (ec) {
                                  return;
                              }
                              ++self->m_position;
                              self->m_timer.expires_after(std::chrono::milliseconds{1});
                              self->m_timer.async_wait([self](auto) { self->writeOneByte(); });
                          });
    }

    void write(std::string text)
    {
        m_text = std::move(text);
        asio::async_write(m_socket, asio::buffer(m_text), [self = shared_from_this()](auto ec, std::size_t) {
            if (!ec) {
                self->onWritten();
            }
        });
    }

    void onWritten()
    {
        if (m_isSilentAfterwards) {
            holdSilently();
            return;
        }
        endExecution();
        if (m_isLast) {
            boost::system::error_code ec;
            m_socket.shutdown(tcp::socket::shutdown_both, ec);
            return;
        }
        read();
    }

    void control(std::string_view target)
    {
        if (target.starts_with("/control/set")) {
            m_defaults = behaviourFor(target, Behaviour{});
            reply("{}\n");
        } else if (target.starts_with("/control/counters")) {
            reply(countersText());
        } else {
            write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
    }

    std::string countersText() const
    {
        std::uint32_t most = 0;
        for (const auto &[key, n] : m_counters.executionsByKey) {
            most = std::max(most, n);
        }
        return fmt::format("{{\"executions\":{},\"connections\":{},\"inFlight\":{},\"mostInFlight\":{},"
                           "\"mostOpenConnections\":{},\"keys\":{},\"mostPerKey\":{}}}\n",
                           m_counters.executions,
                           m_counters.connections,
                           m_counters.inFlight,
                           m_counters.mostInFlight,
                           m_counters.mostOpenConnections,
                           m_counters.executionsByKey.size(),
                           most);
    }

    void reply(std::string_view text)
    {
        write(fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                          text.size(),
                          text));
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    Behaviour &m_defaults;
    Counters &m_counters;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    Behaviour m_behaviour;
    std::string m_text;
    std::size_t m_position = 0;
    bool m_isExecuting = false;
    bool m_isLast = false;
    bool m_isSilentAfterwards = false;
};

} // namespace

TargetServer::TargetServer(asio::io_context &context, const std::string &address, std::uint16_t port)
    : m_acceptor(context, tcp::endpoint(asio::ip::make_address(address), port))
{
}

void TargetServer::start()
{
    accept();
}

std::uint16_t TargetServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

Behaviour &TargetServer::defaults()
{
    return m_defaults;
}

Counters &TargetServer::counters()
{
    return m_counters;
}

void TargetServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (!ec) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Session>(std::move(socket), m_defaults, m_counters)->read();
        }
        accept();
    });
}

} // namespace TargetStandin
