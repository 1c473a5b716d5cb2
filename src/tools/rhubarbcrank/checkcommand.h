#pragma once

#include "command.h"

#include <string>

namespace Commands
{

/// Reads a document and reports every mistake in it.
Report check(const std::string &file);

Command checkCommand();

} // namespace Commands
