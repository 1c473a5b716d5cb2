#pragma once

#include "arguments.h"
#include "report.h"

#include <functional>
#include <string>

namespace Commands
{

/// One command of the command line.
struct Command {
    std::string name;
    std::string summary; ///< for the list of commands
    std::string usage; ///< as docopt reads it, without the options that all commands have
    std::function<Report(const Arguments &)> run;
};

} // namespace Commands
