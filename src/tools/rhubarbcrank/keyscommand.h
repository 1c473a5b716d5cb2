#pragma once

#include "command.h"

namespace Commands
{

/// Lists every section and key of a document with kind, default, range and explanation; `isMarkdown` for the
/// page of the documentation.
Report keys(bool isMarkdown);

Command keysCommand();

} // namespace Commands
