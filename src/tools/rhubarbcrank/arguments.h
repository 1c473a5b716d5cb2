#pragma once

#include <ini/values.h>

#include <docopt/docopt.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Commands
{

/// What was given on the command line, as the command's usage names it.
class Arguments
{
public:
    explicit Arguments(std::map<std::string, docopt::value> values);

    /// The value of an option or a positional argument; nothing when it was not given.
    std::optional<std::string> text(const std::string &name) const;

    /// As above, for what the usage demands or gives a default.
    std::string required(const std::string &name) const;

    bool isSet(const std::string &name) const;

    /// The value as a whole number; throws docopt::DocoptArgumentError when it is none.
    std::optional<std::uint64_t> integer(const std::string &name) const;

    /// The value as a time in milliseconds; throws as above.
    std::chrono::milliseconds milliseconds(const std::string &name) const;

    /// The value as "IP:port"; throws as above.
    Ini::Endpoint endpoint(const std::string &name) const;

private:
    std::map<std::string, docopt::value> m_values;
};

} // namespace Commands
