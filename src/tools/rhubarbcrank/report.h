#pragma once

#include <ini/mistake.h>

#include <boost/json/object.hpp>

#include <span>
#include <string>
#include <string_view>

namespace Commands
{

/// What scripts can rely on.
enum class ExitStatus {
    Done = 0,
    Refused = 1, ///< refused, or something that must hold doesn't
    BadInput = 2, ///< wrong usage or a file with mistakes
    Unreachable = 3, ///< the platform could not be reached, or not for long enough
};

/// "done", "refused", "bad-input", "unreachable".
std::string_view toString(ExitStatus status);

/// What a command has to say, for people and for programs.
struct Report {
    ExitStatus status = ExitStatus::Done;
    std::string text; ///< lines, each with its line feed
    boost::json::object details;
};

/// Bad input, with a line for each mistake.
Report badInput(std::span<const Ini::Mistake> mistakes);

/// Bad input, of which there is one thing to say.
Report badInput(std::string_view reason);

Report refused(std::string_view reason);

/// The platform was not reached for what was to be done.
Report unreachable(std::string_view reason);

} // namespace Commands
