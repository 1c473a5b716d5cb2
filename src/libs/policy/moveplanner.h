#pragma once

#include "passcontext.h"

namespace Policy
{

/// Takes the observed demand into the context's memory, and adds up what pools lack or hold beyond need. To
/// be called in every pass, also where nothing may be decided.
void trackDemand(PassContext &context);

/// The moves of the zone: follows open ones through drain and commit, and starts those that pay by the
/// document's weights. A surge of seconds moves nothing; a lasting shift moves no more than it must.
void planMoves(PassContext &context);

} // namespace Policy
