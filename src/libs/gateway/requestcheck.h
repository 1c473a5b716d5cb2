#pragma once

#include "failure.h"
#include "message.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>

namespace Gateway::Internal
{

using HttpRequestHeader = boost::beast::http::request_header<boost::beast::http::fields>;
using HttpResponseHeader = boost::beast::http::response_header<boost::beast::http::fields>;

/// Validates a parsed request header. Returns the failure to report, always with the verdict NotRun, or
/// nothing if the request may be forwarded.
std::optional<Failure> checkRequest(const HttpRequestHeader &header);

/// Returns the failure for an error of the HTTP parser, with status 400, 413 or 431.
Failure failureFromParseError(const boost::system::error_code &ec);

/// Creates the head to forward from a header that passed checkRequest(). The calling function sets `hasBody`
/// and `length`.
RequestHead makeRequestHead(const HttpRequestHeader &header);

/// Returns the end-to-end fields of a message: all but the connection-specific fields (RFC 9110, 7.6.1) and
/// the framing fields, which are generated for each connection.
std::vector<HeaderField> endToEndFields(const boost::beast::http::fields &fields);

} // namespace Gateway::Internal
