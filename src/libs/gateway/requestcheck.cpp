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
constexpr std::size_t LongestIdempotencyKey = 255;

Failure refusal(unsigned status, std::string_view reason)
{
    return Failure{status, Base::Verdict::NotRun, std::string(reason), std::nullopt};
}

bool isKnownMethod(http::verb method)
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

bool isRepeated(const RequestFields &header, http::field field)
{
    return header.count(field) > 1;
}

bool isRepeated(const RequestFields &header, std::string_view field)
{
    return header.count({field.data(), field.size()}) > 1;
}

std::string_view valueOf(const http::fields &fields, std::string_view name)
{
    const auto value = fields[{name.data(), name.size()}];
    return {value.data(), value.size()};
}

// Two parties that read one message's length differently are the way to smuggle a request, so anything
// but one length or one `chunked` is refused (RFC 9112, 6.3).
std::optional<Failure> checkFraming(const RequestFields &header)
{
    const bool hasLength = header.count(http::field::content_length) > 0;
    const bool hasEncoding = header.count(http::field::transfer_encoding) > 0;
    if (hasLength && hasEncoding) {
        return refusal(400, "length-and-transfer-encoding");
    }
    if (isRepeated(header, http::field::content_length)) {
        return refusal(400, "duplicate-content-length");
    }
    if (isRepeated(header, http::field::transfer_encoding)) {
        return refusal(400, "duplicate-transfer-encoding");
    }
    if (hasEncoding && !boost::beast::iequals(header[http::field::transfer_encoding], "chunked")) {
        return refusal(501, "unsupported-transfer-encoding");
    }
    return std::nullopt;
}

std::optional<Base::Duration> millisecondsOf(std::string_view text)
{
    std::uint32_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size() || n == 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{n};
}

std::optional<Failure> checkOwnFields(const RequestFields &header)
{
    for (const std::string_view it :
         {DeadlineHeader, PriorityHeader, IdempotencyKeyHeader, TraceParentHeader}) {
        if (isRepeated(header, it)) {
            return refusal(400, "duplicate-header");
        }
    }
    const auto deadline = valueOf(header, DeadlineHeader);
    if (!deadline.empty() && !millisecondsOf(deadline)) {
        return refusal(400, "malformed-deadline");
    }
    const auto priority = valueOf(header, PriorityHeader);
    if (!priority.empty() && priority != "interactive" && priority != "urgent" && priority != "batch") {
        return refusal(400, "unknown-priority");
    }
    if (valueOf(header, IdempotencyKeyHeader).size() > LongestIdempotencyKey) {
        return refusal(400, "idempotency-key-too-long");
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

std::optional<Failure> checkRequest(const RequestFields &header)
{
    if (header.version() != HttpVersion11) {
        return refusal(505, "http-version-not-supported");
    }
    if (!isKnownMethod(header.method())) {
        return refusal(501, "method-not-supported");
    }
    if (header.target().empty() || header.target().front() != '/') {
        return refusal(400, "malformed-target");
    }
    if (header.count(http::field::host) != 1) {
        return refusal(400, "host-missing-or-repeated");
    }
    if (auto failure = checkFraming(header)) {
        return failure;
    }
    return checkOwnFields(header);
}

Failure parseFailure(const boost::system::error_code &ec)
{
    if (ec == http::error::header_limit) {
        return refusal(431, "header-too-large");
    }
    if (ec == http::error::body_limit) {
        return refusal(413, "body-too-large");
    }
    return refusal(400, "malformed-request");
}

RequestHead requestHead(const RequestFields &header)
{
    RequestHead head;
    head.method = std::string(header.method_string());
    head.target = std::string(header.target());
    head.fields = endToEndFields(header);
    head.idempotencyKey = std::string(valueOf(header, IdempotencyKeyHeader));
    head.traceParent = std::string(valueOf(header, TraceParentHeader));
    head.deadline = millisecondsOf(valueOf(header, DeadlineHeader));
    head.priority = std::string(valueOf(header, PriorityHeader));
    return head;
}

std::vector<HeaderField> endToEndFields(const http::fields &fields)
{
    const http::token_list listed{fields[http::field::connection]};
    std::vector<HeaderField> kept;
    for (const auto &it : fields) {
        const bool isListed = std::any_of(listed.begin(), listed.end(), [&](const auto &token) {
            return boost::beast::iequals(token, it.name_string());
        });
        if (!isHopByHop(it.name()) && !isListed) {
            kept.push_back({std::string(it.name_string()), std::string(it.value())});
        }
    }
    return kept;
}

} // namespace Gateway::Internal
