#include "values.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace Ini
{

namespace
{

constexpr std::uint64_t HighestPort = 65535;

// More slips than this in a word of usual length make it another word.
constexpr std::size_t MostSlips = 3;

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// A text with a zero byte in it would end there for inet_pton().
bool isText(std::string_view text)
{
    return text.find('\0') == std::string_view::npos;
}

bool isIpv6(std::string_view text)
{
    in6_addr address{};
    return isText(text) && inet_pton(AF_INET6, std::string(text).c_str(), &address) == 1;
}

bool isIpv4(std::string_view text)
{
    in_addr address{};
    return isText(text) && inet_pton(AF_INET, std::string(text).c_str(), &address) == 1;
}

/// Levenshtein's distance, by two rows of its table.
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t n = 0; n < b.size(); ++n) {
            const std::size_t replaced = diagonal + (a[i] == b[n] ? 0 : 1);
            diagonal = row[n + 1];
            row[n + 1] = std::min({replaced, row[n] + 1, diagonal + 1});
        }
    }
    return row.back();
}

} // namespace

std::optional<std::uint64_t> toInteger(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> toNumber(std::string_view text)
{
    double number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size() || !std::isfinite(number)
        || std::signbit(number)) {
        return std::nullopt;
    }
    return number;
}

std::optional<bool> toBoolean(std::string_view text)
{
    if (text == "true") {
        return true;
    }
    if (text == "false") {
        return false;
    }
    return std::nullopt;
}

std::optional<std::vector<std::string>> toList(std::string_view text)
{
    std::vector<std::string> items;
    if (trimmed(text).empty()) {
        return items;
    }
    while (true) {
        const auto end = text.find(',');
        const auto item = trimmed(text.substr(0, end));
        if (item.empty()) {
            return std::nullopt;
        }
        items.emplace_back(item);
        if (end == std::string_view::npos) {
            return items;
        }
        text.remove_prefix(end + 1);
    }
}

std::optional<Endpoint> toEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip = text.substr(0, colon);
    const bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    const auto port = toInteger(text.substr(colon + 1));
    if (!(isBracketed ? isIpv6(ip) : isIpv4(ip)) || !port || *port > HighestPort) {
        return std::nullopt;
    }
    return Endpoint{std::string(ip), static_cast<std::uint16_t>(*port)};
}

bool isIpAddress(std::string_view text)
{
    return isIpv4(text) || isIpv6(text);
}

std::string toString(const Endpoint &endpoint)
{
    if (isIpv6(endpoint.ip)) {
        return fmt::format("[{}]:{}", endpoint.ip, endpoint.port);
    }
    return fmt::format("{}:{}", endpoint.ip, endpoint.port);
}

std::optional<std::string> nearest(std::string_view text, std::span<const std::string> candidates)
{
    std::optional<std::string> best;
    std::size_t least = std::min(MostSlips, text.size() / 2) + 1;
    for (const std::string &it : candidates) {
        const std::size_t distance = editDistance(text, it);
        if (distance < least) {
            least = distance;
            best = it;
        }
    }
    return best;
}

} // namespace Ini
