#pragma once

#include <base/strongid.h>

#include <cstdint>

namespace Scheduling
{

struct RequestTag;
struct TargetTag;
struct ServiceTag;

/// One request of one caller; never used again by the same entry instance.
using RequestId = Base::StrongId<RequestTag>;
using TargetId = Base::StrongId<TargetTag, std::uint32_t>;
using ServiceId = Base::StrongId<ServiceTag, std::uint32_t>;

} // namespace Scheduling
