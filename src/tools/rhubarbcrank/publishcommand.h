#pragma once

#include "command.h"

namespace Commands
{

/// Makes a document the accepted one of its environment, if nobody has changed it since.
Command publishCommand();

} // namespace Commands
