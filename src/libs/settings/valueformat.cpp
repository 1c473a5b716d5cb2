#include "valueformat.h"

#include <algorithm>
#include <limits>

#include <fmt/format.h>

namespace Settings
{

namespace
{

// With the kind and a blank in front of it, a name fits into a section's header as the INI library has it.
constexpr std::size_t LongestName = 40;

constexpr std::size_t LongestLine = 80;

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

} // namespace

std::optional<Milliseconds> ValueFormat<Milliseconds>::parse(std::string_view text)
{
    const auto n = Ini::toInteger(text);
    if (!n || *n > static_cast<std::uint64_t>(Milliseconds::max().count())) {
        return std::nullopt;
    }
    return Milliseconds(static_cast<Milliseconds::rep>(*n));
}

std::string ValueFormat<Milliseconds>::print(Milliseconds value)
{
    return fmt::format("{}", value.count());
}

std::string ValueFormat<Milliseconds>::kind()
{
    return "milliseconds";
}

std::optional<Bytes> ValueFormat<Bytes>::parse(std::string_view text)
{
    const auto n = Ini::toInteger(text);
    return n ? std::optional(Bytes{*n}) : std::nullopt;
}

std::string ValueFormat<Bytes>::print(Bytes value)
{
    return fmt::format("{}", value.value);
}

std::string ValueFormat<Bytes>::kind()
{
    return "bytes";
}

std::optional<std::uint32_t> ValueFormat<std::uint32_t>::parse(std::string_view text)
{
    const auto n = Ini::toInteger(text);
    if (!n || *n > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(*n);
}

std::string ValueFormat<std::uint32_t>::print(std::uint32_t value)
{
    return fmt::format("{}", value);
}

std::string ValueFormat<std::uint32_t>::kind()
{
    return "number";
}

std::optional<std::string> ValueFormat<std::string>::parse(std::string_view text)
{
    return std::string(text);
}

std::string ValueFormat<std::string>::print(const std::string &value)
{
    return value;
}

std::string ValueFormat<std::string>::kind()
{
    return "text";
}

std::optional<std::uint16_t> ValueFormat<std::uint16_t>::parse(std::string_view text)
{
    const auto n = Ini::toInteger(text);
    if (!n || *n > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    return static_cast<std::uint16_t>(*n);
}

std::string ValueFormat<std::uint16_t>::print(std::uint16_t value)
{
    return fmt::format("{}", value);
}

std::string ValueFormat<std::uint16_t>::kind()
{
    return "number";
}

std::optional<std::uint64_t> ValueFormat<std::uint64_t>::parse(std::string_view text)
{
    return Ini::toInteger(text);
}

std::string ValueFormat<std::uint64_t>::print(std::uint64_t value)
{
    return fmt::format("{}", value);
}

std::string ValueFormat<std::uint64_t>::kind()
{
    return "number";
}

std::optional<double> ValueFormat<double>::parse(std::string_view text)
{
    return Ini::toNumber(text);
}

// The shortest text that is read back to the same number.
std::string ValueFormat<double>::print(double value)
{
    return fmt::format("{}", value);
}

std::string ValueFormat<double>::kind()
{
    return "decimal number";
}

bool isName(std::string_view text)
{
    const bool isPlain = std::all_of(text.begin(), text.end(), [](char c) {
        return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
    });
    return isPlain && !text.empty() && text.size() <= LongestName && isLetterOrDigit(text.front());
}

std::string nameKind()
{
    return fmt::format("name of 1 to {} letters, digits, dashes, dots and underscores", LongestName);
}

std::vector<std::string> wrapped(std::span<const std::string> items)
{
    std::vector<std::string> lines(1);
    for (const std::string &it : items) {
        if (!lines.back().empty() && lines.back().size() + it.size() > LongestLine) {
            lines.emplace_back();
        }
        lines.back() += lines.back().empty() ? "" : ", ";
        lines.back() += it;
    }
    return lines;
}

std::optional<bool> ValueFormat<bool>::parse(std::string_view text)
{
    return Ini::toBoolean(text);
}

std::string ValueFormat<bool>::print(bool value)
{
    return value ? "true" : "false";
}

std::string ValueFormat<bool>::kind()
{
    return "true or false";
}

std::optional<IpAddress> ValueFormat<IpAddress>::parse(std::string_view text)
{
    return Ini::isIpAddress(text) ? std::optional(IpAddress{std::string(text)}) : std::nullopt;
}

std::string ValueFormat<IpAddress>::print(const IpAddress &value)
{
    return value.text;
}

std::string ValueFormat<IpAddress>::kind()
{
    return "IP number";
}

std::optional<Ini::Endpoint> ValueFormat<Ini::Endpoint>::parse(std::string_view text)
{
    return Ini::toEndpoint(text);
}

std::string ValueFormat<Ini::Endpoint>::print(const Ini::Endpoint &value)
{
    return Ini::toString(value);
}

std::string ValueFormat<Ini::Endpoint>::kind()
{
    return "IP:port";
}

} // namespace Settings
