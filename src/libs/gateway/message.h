#pragma once

#include "failure.h"

#include <base/strongid.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Gateway
{

/// An exchange is one request with its response, from the caller's connection to the target's and back.
struct ExchangeTag;
using ExchangeId = Base::StrongId<ExchangeTag>;

struct HeaderField {
    std::string name;
    std::string value;
};

/// The Content-Length of a body; without one the body uses the chunked transfer coding.
using BodyLength = std::optional<std::uint64_t>;

/// A validated request without its body and without hop-by-hop fields.
struct RequestHead {
    std::string method;
    std::string target; ///< origin form: path and query
    std::vector<HeaderField> fields;
    bool hasBody = false;
    BodyLength length;
    std::string idempotencyKey;
    std::string traceParent;
    std::optional<Base::Duration> deadline;
    std::string priority;
    Base::Instant receivedAt;
};

/// A target's response without its body and without hop-by-hop fields.
struct ResponseHead {
    unsigned status = 0;
    std::vector<HeaderField> fields;
    bool hasBody = false;
    BodyLength length;
};

// Messages from the caller side to the target side.

struct OpenExchange {
    ExchangeId id;
    std::unique_ptr<RequestHead> head;
    std::string chunk;
    bool isLast = false;
};

struct RequestBody {
    ExchangeId id;
    std::string chunk;
    bool isLast = false;
};

/// One chunk of the response body was written to the caller.
struct ResponseCredit {
    ExchangeId id;
};

/// The caller disconnected or its connection was closed because of an error.
struct CallerDisconnected {
    ExchangeId id;
};

// Messages from the target side to the caller side.

/// One chunk of the request body was written to the target.
struct RequestCredit {
    ExchangeId id;
};

struct OpenResponse {
    ExchangeId id;
    std::unique_ptr<ResponseHead> head;
    std::string chunk;
    bool isLast = false;
};

struct ResponseBody {
    ExchangeId id;
    std::string chunk;
    bool isLast = false;
};

/// The exchange failed. The caller side sends an error response or, if the response has begun, closes the
/// connection.
struct ExchangeFailed {
    ExchangeId id;
    std::unique_ptr<Failure> failure;
};

using ToTargets = std::variant<CallerDisconnected, OpenExchange, RequestBody, ResponseCredit>;
using ToCallers = std::variant<RequestCredit, OpenResponse, ResponseBody, ExchangeFailed>;

} // namespace Gateway
