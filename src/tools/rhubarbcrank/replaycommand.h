#pragma once

#include "command.h"

namespace Commands
{

Command replayCommand();

} // namespace Commands
