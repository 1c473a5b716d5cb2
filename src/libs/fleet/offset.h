#pragma once

#include <base/strongid.h>

namespace Fleet
{

/// A position in a stream of the log. The first record is at 1; 0 is before all of them.
struct OffsetTag;
using Offset = Base::StrongId<OffsetTag>;

} // namespace Fleet
