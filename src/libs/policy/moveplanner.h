#pragma once

#include "passcontext.h"

namespace Policy
{

/// Updates the demand estimates in the context's memory and accumulates each pool's shortage and excess. Must
/// be called in every pass, including those that may not decide anything.
void trackDemand(PassContext &context);

/// Plans the zone's moves: takes open moves through drain and commit, and starts moves whose benefit
/// outweighs their cost by the document's weights. A surge of a few seconds starts no move; a lasting shift
/// in demand starts only as many as it needs.
void planMoves(PassContext &context);

} // namespace Policy
