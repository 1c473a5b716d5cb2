#pragma once

#include "message.h"

#include <optional>
#include <string>
#include <string_view>

namespace Gateway::Internal
{

/// A whole response as it is kept for a repeat of its request.
struct StoredAnswer {
    ResponseHead head;
    std::string body;
};

/// As an HTTP/1.1 message.
std::string encodeAnswer(const ResponseHead &head, std::string_view body);

/// Nothing when the text isn't one whole message.
std::optional<StoredAnswer> decodeAnswer(const std::string &text);

} // namespace Gateway::Internal
