#include "arguments.h"

#include <utility>

namespace Commands
{

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

} // namespace Commands
