#pragma once

#include "document.h"

#include <ini/mistake.h>

#include <vector>

namespace Document
{

/// What does not fit together: unknown names, addresses, racks and routes that are there twice, not exactly
/// one spare pool, a drain shorter than a deadline. The mistakes name section and key, not the line.
std::vector<Ini::Mistake> inconsistencies(const Document &document);

} // namespace Document
