#pragma once

#include "passcontext.h"

namespace Policy
{

/// Records instances as failed when the platform lists them as gone, or when they stay ejected and the budget
/// allows it, and as recovered after they have been live and not ejected for long enough. Records members
/// as left that the platform hasn't listed for longer than the longest deadline.
void planHealth(PassContext &context);

} // namespace Policy
