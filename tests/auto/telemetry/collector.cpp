#include "collector.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

using namespace std::chrono_literals;

namespace
{

constexpr unsigned HttpVersion11 = 11;

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

} // namespace

Collector::Collector()
    : m_acceptor(m_context, loopback(0))
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

Collector::~Collector()
{
    m_context.stop();
    m_thread.join();
}

std::uint16_t Collector::port() const
{
    return m_acceptor.local_endpoint().port();
}

void Collector::answerWith(unsigned status)
{
    m_status = status;
}

std::vector<Collector::Post> Collector::posts() const
{
    const std::lock_guard lock(m_mutex);
    return m_posts;
}

void Collector::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec) {
            return;
        }
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::read(socket, buffer, request, ec);
        {
            const std::lock_guard lock(m_mutex);
            m_posts.push_back({std::string(request.target()),
                               std::string(request[http::field::content_type]),
                               request.body()});
        }
        http::response<http::string_body> response(http::int_to_status(m_status), HttpVersion11);
        response.prepare_payload();
        http::write(socket, response, ec);
        accept();
    });
}

Answer ask(std::uint16_t port, std::string_view method, const std::string &target)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(loopback(port));
    http::request<http::string_body> request;
    request.version(HttpVersion11);
    request.method_string({method.data(), method.size()});
    request.target(target);
    request.set(http::field::host, "localhost");
    request.keep_alive(false);
    request.prepare_payload();
    http::write(socket, request);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response);
    return {response.result_int(), std::string(response[http::field::content_type]), response.body()};
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(2ms);
    }
    return true;
}
