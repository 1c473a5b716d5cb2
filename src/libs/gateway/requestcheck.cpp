#include "requestcheck.h"

#include "gatewayconstants.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace http = boost::beast::http;

namespace Gateway::Internal
{

namespace
{

constexpr unsigned HttpVersion11 = 11;
constexpr std::size_t MaxIdempotencyKeyBytes = 255;

Failure rejection(unsigned status, std::string_view reason)
{
    return Failure{status, Base::Verdict::NotRun, std::string(reason), std::nullopt};
}

bool isSupportedMethod(http::verb method)
{
    constexpr std::array Methods{http::verb::get,
                                 http::verb::head,
                                 http::verb::post,
                                 http::verb::put,
                                 http::verb::delete_,
                                 http::verb::patch,
                                 http::verb::options};
    return std::find(Methods.begin(), Methods.end(), method) != Methods.end();
}

bool isRepeated(const HttpRequestHeader &header, http::field field)
{
    return header.count(field) > 1;
}

bool isRepeated(const HttpRequestHeader &header, std::string_view field)
{
    return header.count({field.data(), field.size()}) > 1;
}

std::string_view fieldValue(const http::fields &fields, std::string_view name)
{
    const auto value = fields[{name.data(), name.size()}];
    return {value.data(), value.size()};
}

// Prevents request smuggling, which relies on two recipients that disagree on the length of a message.
// Only a single Content-Length or a single `chunked` Transfer-Encoding is accepted (RFC 9112, 6.3).
std::optional<Failure> checkFraming(const HttpRequestHeader &header)
{
    const bool hasLength = header.count(http::field::content_length) > 0;
    const bool hasEncoding = header.count(http::field::transfer_encoding) > 0;
    if (hasLength && hasEncoding) {
        return rejection(400, "length-and-transfer-encoding");
    }
    if (isRepeated(header, http::field::content_length)) {
        return rejection(400, "duplicate-content-length");
    }
    if (isRepeated(header, http::field::transfer_encoding)) {
        return rejection(400, "duplicate-transfer-encoding");
    }
    if (hasEncoding && !boost::beast::iequals(header[http::field::transfer_encoding], "chunked")) {
        return rejection(501, "unsupported-transfer-encoding");
    }
    return std::nullopt;
}

std::optional<Base::Duration> parseMilliseconds(std::string_view text)
{
    std::uint32_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size() || n == 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{n};
}

std::optional<Failure> checkControlFields(const HttpRequestHeader &header)
{
    for (const std::string_view it :
         {DeadlineHeader, PriorityHeader, IdempotencyKeyHeader, TraceParentHeader}) {
        if (isRepeated(header, it)) {
            return rejection(400, "duplicate-header");
        }
    }
    const auto deadline = fieldValue(header, DeadlineHeader);
    if (!deadline.empty() && !parseMilliseconds(deadline)) {
        return rejection(400, "malformed-deadline");
    }
    const auto priority = fieldValue(header, PriorityHeader);
    if (!priority.empty() && priority != "interactive" && priority != "urgent" && priority != "batch") {
        return rejection(400, "unknown-priority");
    }
    if (fieldValue(header, IdempotencyKeyHeader).size() > MaxIdempotencyKeyBytes) {
        return rejection(400, "idempotency-key-too-long");
    }
    return std::nullopt;
}

bool isHopByHop(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

} // namespace

std::optional<Failure> checkRequest(const HttpRequestHeader &header)
{
    if (header.version() != HttpVersion11) {
        return rejection(505, "http-version-not-supported");
    }
    if (!isSupportedMethod(header.method())) {
        return rejection(501, "method-not-supported");
    }
    if (header.target().empty() || header.target().front() != '/') {
        return rejection(400, "malformed-target");
    }
    if (header.count(http::field::host) != 1) {
        return rejection(400, "host-missing-or-repeated");
    }
    if (auto failure = checkFraming(header)) {
        return failure;
    }
    return checkControlFields(header);
}

Failure failureFromParseError(const boost::system::error_code &ec)
{
    // Trailers and extensions of a chunk that fill the buffer belong to the header as well.
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return rejection(431, "header-too-large");
    }
    if (ec == http::error::body_limit) {
        return rejection(413, "body-too-large");
    }
    return rejection(400, "malformed-request");
}

RequestHead makeRequestHead(const HttpRequestHeader &header)
{
    RequestHead head;
    head.method = std::string(header.method_string());
    head.target = std::string(header.target());
    head.fields = endToEndFields(header);
    head.idempotencyKey = std::string(fieldValue(header, IdempotencyKeyHeader));
    head.traceParent = std::string(fieldValue(header, TraceParentHeader));
    head.deadline = parseMilliseconds(fieldValue(header, DeadlineHeader));
    head.priority = std::string(fieldValue(header, PriorityHeader));
    return head;
}

std::vector<HeaderField> endToEndFields(const http::fields &fields)
{
    const http::token_list listed{fields[http::field::connection]};
    std::vector<HeaderField> forwarded;
    for (const auto &it : fields) {
        const bool isListed = std::any_of(listed.begin(), listed.end(), [&](const auto &token) {
            return boost::beast::iequals(token, it.name_string());
        });
        if (!isHopByHop(it.name()) && !isListed) {
            forwarded.push_back({std::string(it.name_string()), std::string(it.value())});
        }
    }
    return forwarded;
}

} // namespace Gateway::Internal
