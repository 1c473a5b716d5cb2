#include "httpserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace PlatformStandin
{

namespace
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Asio::ip::tcp;
using Error = boost::system::error_code;

constexpr unsigned Http11 = 11;
constexpr const char *RequestIdHeader = "X-Request-Id";

} // namespace

class HttpServer::Session : public std::enable_shared_from_this<HttpServer::Session>
{
public:
    Session(tcp::socket socket, const HttpServer::Handler &handler)
        : m_socket(std::move(socket))
        , m_handler(handler)
    {
    }

    void readNext()
    {
        m_request = {};
        Http::async_read(m_socket, m_buffer, m_request, [self = shared_from_this()](Error ec, std::size_t) {
            if (!ec && !self->m_isSilent) {
                self->handle();
            }
        });
    }

    void silence()
    {
        m_isSilent = true;
    }

private:
    void handle()
    {
        Request request{m_request.method() == Http::verb::post,
                        std::string(m_request.target()),
                        std::move(m_request.body())};
        m_handler(std::move(request),
                  [self = shared_from_this()](Reply reply) { self->answer(std::move(reply)); });
    }

    void answer(Reply reply)
    {
        if (m_isSilent) {
            return;
        }
        if (reply.delivery == Delivery::Dropped) {
            Error ignored;
            m_socket.close(ignored);
            return;
        }
        m_response = {};
        m_response.version(Http11);
        m_response.result(reply.status);
        m_response.set(Http::field::content_type, "application/json");
        if (const auto it = m_request.find(RequestIdHeader); it != m_request.end()) {
            m_response.set(RequestIdHeader, it->value());
        }
        m_response.body() = std::move(reply.body);
        m_response.prepare_payload();
        write(reply.delivery == Delivery::Twice ? 2 : 1);
    }

    void write(int times)
    {
        Http::async_write(m_socket, m_response, [self = shared_from_this(), times](Error ec, std::size_t) {
            if (ec) {
                return;
            }
            if (times > 1) {
                self->write(times - 1);
            } else {
                self->readNext();
            }
        });
    }

    bool m_isSilent = false;
    tcp::socket m_socket;
    const HttpServer::Handler &m_handler;
    Beast::flat_buffer m_buffer;
    Http::request<Http::string_body> m_request;
    Http::response<Http::string_body> m_response;
};

HttpServer::HttpServer(Asio::io_context &context, std::uint16_t port, Handler handler)
    : m_acceptor(context, tcp::endpoint(Asio::ip::address_v4::loopback(), port))
    , m_handler(std::move(handler))
{
    acceptNext();
}

std::uint16_t HttpServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void HttpServer::silenceOpenConnections()
{
    for (const auto &it : std::exchange(m_sessions, {})) {
        if (const auto session = it.lock()) {
            session->silence();
            m_silenced.push_back(session);
        }
    }
}

void HttpServer::acceptNext()
{
    m_acceptor.async_accept([this](Error ec, tcp::socket socket) {
        if (ec == Asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            Error ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const auto session = std::make_shared<Session>(std::move(socket), m_handler);
            std::erase_if(m_sessions, [](const auto &it) { return it.expired(); });
            m_sessions.push_back(session);
            session->readNext();
        }
        acceptNext();
    });
}

} // namespace PlatformStandin
