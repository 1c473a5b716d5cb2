#pragma once

#include "command.h"

namespace Commands
{

Command reportCommand();

} // namespace Commands
