#include "statusclient.h"

#include <ini/values.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>

#include <memory>
#include <utility>

namespace Commands
{

namespace
{

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Asio::ip::tcp;
using Error = boost::system::error_code;

constexpr unsigned Http11 = 11;
constexpr std::size_t LongestPage = 64ULL * 1024;

std::string textOf(const boost::json::object &page, std::string_view key)
{
    const auto *value = page.if_contains(key);
    const auto *text = value != nullptr ? value->if_string() : nullptr;
    return text != nullptr ? std::string(text->begin(), text->end()) : std::string();
}

bool flagOf(const boost::json::object &page, std::string_view key)
{
    const auto *value = page.if_contains(key);
    const auto *flag = value != nullptr ? value->if_bool() : nullptr;
    return flag != nullptr && *flag;
}

std::optional<std::uint64_t> numberOf(const boost::json::object &page, std::string_view key)
{
    const auto *value = page.if_contains(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    Error ec;
    const auto number = value->to_number<std::uint64_t>(ec);
    return ec ? std::nullopt : std::optional(number);
}

/// One GET on a connection of its own.
class StatusRequest : public std::enable_shared_from_this<StatusRequest>
{
public:
    StatusRequest(Asio::io_context &context, std::optional<EntryStatus> &answer)
        : m_stream(context)
        , m_answer(answer)
    {
        m_parser.body_limit(LongestPage);
    }

    void start(const Ini::Endpoint &endpoint, Base::Duration timeout)
    {
        Error ec;
        const auto ip = Asio::ip::make_address(endpoint.ip, ec);
        if (ec) {
            return;
        }
        m_request = {Http::verb::get, "/status", Http11};
        m_request.set(Http::field::host, Ini::toString(endpoint));
        m_request.keep_alive(false);
        m_stream.expires_after(timeout);
        m_stream.async_connect(tcp::endpoint(ip, endpoint.port), [self = shared_from_this()](Error failure) {
            if (!failure) {
                self->write();
            }
        });
    }

private:
    void write()
    {
        Http::async_write(m_stream, m_request, [self = shared_from_this()](Error ec, std::size_t) {
            if (!ec) {
                self->read();
            }
        });
    }

    void read()
    {
        Http::async_read(m_stream, m_buffer, m_parser, [self = shared_from_this()](Error ec, std::size_t) {
            if (!ec && self->m_parser.get().result() == Http::status::ok) {
                self->m_answer = parseStatus(self->m_parser.get().body());
            }
        });
    }

    Beast::tcp_stream m_stream;
    Http::request<Http::empty_body> m_request;
    Http::response_parser<Http::string_body> m_parser;
    Beast::flat_buffer m_buffer;
    std::optional<EntryStatus> &m_answer;
};

} // namespace

std::vector<std::optional<EntryStatus>> fetchStatuses(std::span<const std::string> addresses,
                                                      Base::Duration timeout)
{
    std::vector<std::optional<EntryStatus>> answers(addresses.size());
    Asio::io_context context(1);
    for (std::size_t n = 0; n < addresses.size(); ++n) {
        if (const auto endpoint = Ini::toEndpoint(addresses[n])) {
            std::make_shared<StatusRequest>(context, answers[n])->start(*endpoint, timeout);
        }
    }
    context.run();
    return answers;
}

std::optional<EntryStatus> parseStatus(std::string_view page)
{
    Error ec;
    const boost::json::value value = boost::json::parse(page, ec);
    const auto *object = ec ? nullptr : value.if_object();
    const auto offset = object != nullptr ? numberOf(*object, "document_offset") : std::nullopt;
    if (!offset) {
        return std::nullopt;
    }
    return EntryStatus{textOf(*object, "instance"),
                       textOf(*object, "zone"),
                       textOf(*object, "environment"),
                       flagOf(*object, "is_ready"),
                       flagOf(*object, "is_platform_reachable"),
                       *offset};
}

} // namespace Commands
