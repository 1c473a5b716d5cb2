#pragma once

#include "command.h"

#include <vector>

namespace Commands
{

/// All commands, in the order of the overview.
std::vector<Command> allCommands();

} // namespace Commands
