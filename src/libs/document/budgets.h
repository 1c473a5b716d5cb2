#pragma once

#include "document.h"

#include <ini/mistake.h>

#include <vector>

namespace Document
{

/// Services whose availability their pool can't keep even at rest: with every instance serving, but without
/// the largest rack, or without the largest zone where the service is to survive that. The mistakes name
/// section and key, not the line.
std::vector<Ini::Mistake> unmetBudgets(const Document &document);

} // namespace Document
