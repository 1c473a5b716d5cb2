#pragma once

#include "command.h"

#include <span>
#include <string>

namespace Commands
{

/// What the process is to write, and its exit status.
struct Outcome {
    ExitStatus status = ExitStatus::Done;
    std::string output; ///< to standard output
    std::string errors; ///< to standard error
};

/// Runs the command that the first argument names. Bad input is told on standard error, all else, and all
/// that is asked for as JSON, on standard output.
Outcome dispatch(std::span<const Command> commands, std::span<const std::string> arguments);

} // namespace Commands
