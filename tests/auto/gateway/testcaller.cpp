#include "testcaller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <fmt/format.h>

#include <poll.h>

#include <array>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr int ReadTimeoutMilliseconds = 20000;

} // namespace

std::string CallerAnswer::verdict() const
{
    const auto it = fields.find("Rhubarbcrank-Verdict");
    return it == fields.end() ? std::string() : it->second;
}

TestCaller::TestCaller(std::uint16_t port)
    : m_socket(m_context)
{
    m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    m_socket.set_option(asio::ip::tcp::no_delay(true));
}

void TestCaller::send(std::string_view bytes)
{
    boost::system::error_code ec;
    asio::write(m_socket, asio::buffer(bytes.data(), bytes.size()), ec);
}

CallerAnswer TestCaller::request(std::string_view method,
                                 std::string_view target,
                                 std::string_view extraFields,
                                 std::string_view body)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: test\r\n{}", method, target, extraFields);
    if (!body.empty()) {
        text += fmt::format("Content-Length: {}\r\n", body.size());
    }
    send(text + "\r\n" + std::string(body));
    return read(method == "HEAD");
}

CallerAnswer TestCaller::read(bool isHeadRequest)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(isHeadRequest);
    parser.eager(true);
    boost::system::error_code ec;
    while (!parser.is_done()) {
        const auto used = parser.put(asio::buffer(m_received), ec);
        m_received.erase(0, used);
        if (ec && ec != http::error::need_more) {
            break;
        }
        if (parser.is_done()) {
            break;
        }
        std::array<char, 65536> buf{};
        if (!waitReadable()) {
            break;
        }
        const auto n = m_socket.read_some(asio::buffer(buf), ec);
        if (ec) {
            break;
        }
        m_received.append(buf.data(), n);
    }
    CallerAnswer answer;
    answer.isComplete = parser.is_done() && (parser.content_length() || parser.chunked() || isHeadRequest);
    answer.status = parser.is_header_done() ? parser.get().result_int() : 0;
    answer.body = parser.get().body();
    for (const auto &it : parser.get()) {
        answer.fields[std::string(it.name_string())] = std::string(it.value());
    }
    return answer;
}

bool TestCaller::isClosed()
{
    std::array<char, 1> buf{};
    boost::system::error_code ec;
    return m_received.empty() && waitReadable() && (m_socket.read_some(asio::buffer(buf), ec), ec);
}

void TestCaller::disconnect()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

void TestCaller::reset()
{
    m_socket.set_option(asio::socket_base::linger(true, 0));
    disconnect();
}

bool TestCaller::waitReadable()
{
    pollfd descriptor{m_socket.native_handle(), POLLIN, 0};
    return ::poll(&descriptor, 1, ReadTimeoutMilliseconds) > 0;
}
