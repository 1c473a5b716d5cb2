#pragma once

#include "message.h"

#include <optional>
#include <string>
#include <string_view>

namespace Gateway::Internal
{

/// A complete response, stored to answer repeats of its request.
struct StoredAnswer {
    ResponseHead head;
    std::string body;
};

/// Encodes a response as an HTTP/1.1 message.
std::string encodeAnswer(const ResponseHead &head, std::string_view body);

/// Returns nothing if the text is not a complete message.
std::optional<StoredAnswer> decodeAnswer(const std::string &text);

} // namespace Gateway::Internal
