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

/// What is wrong with a parsed request head; nothing when it may be passed on. Always NotRun.
std::optional<Failure> checkRequest(const HttpRequestHeader &header);

/// The failure for an error of the HTTP parser: 400, 413 or 431.
Failure failureFromParseError(const boost::system::error_code &ec);

/// The head to pass on; `header` has been checked. `hasBody` and `length` are for the caller to set.
RequestHead makeRequestHead(const HttpRequestHeader &header);

/// The end-to-end fields of a message: without those that RFC 9110, 7.6.1 keeps to one connection, and
/// without the framing, which each connection makes anew.
std::vector<HeaderField> endToEndFields(const boost::beast::http::fields &fields);

} // namespace Gateway::Internal
