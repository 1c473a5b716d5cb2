#include "storedanswer.h"

#include "requestcheck.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>

namespace http = boost::beast::http;

namespace Gateway::Internal
{

std::string encodeAnswer(const ResponseHead &head, std::string_view body)
{
    http::response<http::string_body> response;
    response.result(head.status);
    for (const auto &it : head.fields) {
        response.insert({it.name.data(), it.name.size()}, {it.value.data(), it.value.size()});
    }
    response.body() = body;
    response.content_length(body.size());
    std::ostringstream text;
    text << response;
    return text.str();
}

std::optional<StoredAnswer> decodeAnswer(const std::string &text)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(text), ec);
    if (ec || !parser.is_done()) {
        return std::nullopt;
    }
    StoredAnswer answer;
    answer.head.status = parser.get().result_int();
    answer.head.fields = endToEndFields(parser.get());
    answer.body = parser.get().body();
    answer.head.hasBody = !answer.body.empty();
    answer.head.length = answer.body.size();
    return answer;
}

} // namespace Gateway::Internal
