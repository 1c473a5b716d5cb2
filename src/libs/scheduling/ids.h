#pragma once

#include <base/strongid.h>

#include <cstdint>

namespace Scheduling
{

struct RequestTag;
struct TargetTag;
struct ServiceTag;

/// Identifies one request of one caller. An entry instance never reuses an id.
using RequestId = Base::StrongId<RequestTag>;
using TargetId = Base::StrongId<TargetTag, std::uint32_t>;
using ServiceId = Base::StrongId<ServiceTag, std::uint32_t>;

} // namespace Scheduling
