#include "valueformat.h"

#include <limits>

#include <fmt/format.h>

namespace Settings
{

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

std::optional<std::vector<std::string>> ValueFormat<std::vector<std::string>>::parse(std::string_view text)
{
    return Ini::toList(text);
}

std::string ValueFormat<std::vector<std::string>>::print(const std::vector<std::string> &value)
{
    return fmt::format("{}", fmt::join(value, ", "));
}

std::string ValueFormat<std::vector<std::string>>::kind()
{
    return "list, separated by commas";
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
