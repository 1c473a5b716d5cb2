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

/// One request and its response, from the caller's connection to the target's and back.
struct ExchangeTag;
using ExchangeId = Base::StrongId<ExchangeTag>;

struct HeaderField {
    std::string name;
    std::string value;
};

/// A body's length when the sender declared one; otherwise it is sent in chunks.
using BodyLength = std::optional<std::uint64_t>;

/// A checked request without its body and without hop-by-hop fields.
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

// From callers to targets.

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

/// The caller took one piece of the response's body.
struct ResponseCredit {
    ExchangeId id;
};

/// The caller hung up, or its connection had to be closed.
struct CallerDisconnected {
    ExchangeId id;
};

// From targets to callers.

/// The target took one piece of the request's body.
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

/// The exchange ends here: as an answer of ours, or by closing a response that has begun.
struct ExchangeFailed {
    ExchangeId id;
    std::unique_ptr<Failure> failure;
};

using ToTargets = std::variant<CallerDisconnected, OpenExchange, RequestBody, ResponseCredit>;
using ToCallers = std::variant<RequestCredit, OpenResponse, ResponseBody, ExchangeFailed>;

} // namespace Gateway
