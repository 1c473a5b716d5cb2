#include "arguments.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace Commands
{

namespace
{

constexpr std::uint64_t LongestMilliseconds = 86'400'000;

[[noreturn]] void refuse(std::string_view name, std::string_view value, std::string_view allowed)
{
    throw docopt::DocoptArgumentError(fmt::format("{}: '{}' is not {}", name, value, allowed));
}

} // namespace

Arguments::Arguments(std::map<std::string, docopt::value> values)
    : m_values(std::move(values))
{
}

std::optional<std::string> Arguments::text(const std::string &name) const
{
    const auto it = m_values.find(name);
    if (it == m_values.end() || !it->second.isString()) {
        return std::nullopt;
    }
    return it->second.asString();
}

std::string Arguments::required(const std::string &name) const
{
    return text(name).value_or("");
}

bool Arguments::isSet(const std::string &name) const
{
    const auto it = m_values.find(name);
    return it != m_values.end() && it->second.isBool() && it->second.asBool();
}

std::optional<std::uint64_t> Arguments::integer(const std::string &name) const
{
    const auto value = text(name);
    if (!value) {
        return std::nullopt;
    }
    const auto number = Ini::toInteger(*value);
    if (!number) {
        refuse(name, *value, "a whole number");
    }
    return number;
}

std::chrono::milliseconds Arguments::milliseconds(const std::string &name) const
{
    const std::uint64_t number = integer(name).value_or(0);
    if (number > LongestMilliseconds) {
        refuse(name, required(name), fmt::format("at most {}", LongestMilliseconds));
    }
    return std::chrono::milliseconds(number);
}

Ini::Endpoint Arguments::endpoint(const std::string &name) const
{
    const std::string value = required(name);
    const auto endpoint = Ini::toEndpoint(value);
    if (!endpoint) {
        refuse(name, value, "IP:port");
    }
    return *endpoint;
}

} // namespace Commands
