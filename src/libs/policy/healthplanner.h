#pragma once

#include "passcontext.h"

namespace Policy
{

/// Records instances as failed when the platform lists them as gone, or when they stay ejected and the budget
/// can do without them; and as recovered once they have been live and not ejected for long enough. Members
/// that the platform hasn't listed for the longest deadline have left.
void planHealth(PassContext &context);

} // namespace Policy
