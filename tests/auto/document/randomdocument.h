#pragma once

#include <document/document.h>

#include <random>

namespace Document
{

/// Values from a fixed seed.
using Random = std::mt19937_64;

/// Any document whose text can be read back, though its parts need not fit together. Names come from few, so
/// that two documents have many in common.
Document randomDocument(Random &random);

} // namespace Document
