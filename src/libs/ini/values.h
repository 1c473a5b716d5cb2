#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Ini
{

/// Where something listens.
struct Endpoint {
    std::string ip; ///< an IP number
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// An unsigned decimal number; nothing for any other text or one that is too large.
std::optional<std::uint64_t> toInteger(std::string_view text);

/// A decimal number with or without fraction, not negative.
std::optional<double> toNumber(std::string_view text);

/// "true" or "false".
std::optional<bool> toBoolean(std::string_view text);

/// Items separated by commas, without surrounding blanks. Empty text has none; nothing when an item is empty.
std::optional<std::vector<std::string>> toList(std::string_view text);

/// "IP:port", an IPv6 number in brackets.
std::optional<Endpoint> toEndpoint(std::string_view text);

/// True for an IPv4 or IPv6 number as RFC 4291 and inet_pton() have them.
bool isIpAddress(std::string_view text);

std::string toString(const Endpoint &endpoint);

/// The candidate that `text` is most likely a slip of; nothing when none is near.
std::optional<std::string> nearest(std::string_view text, std::span<const std::string> candidates);

} // namespace Ini
