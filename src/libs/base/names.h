#pragma once

#include "strongid.h"

namespace Base
{

struct InstanceTag;
struct AvailabilityZoneTag;
struct PoolTag;
struct ServiceTag;
struct RackTag;
struct EnvironmentTag;
struct MemberTag;

/// A machine that carries targets, as the platform names it.
using InstanceName = StrongName<InstanceTag>;
using AvailabilityZoneName = StrongName<AvailabilityZoneTag>;
using PoolName = StrongName<PoolTag>;
using ServiceName = StrongName<ServiceTag>;
using RackName = StrongName<RackTag>;
using EnvironmentName = StrongName<EnvironmentTag>;

/// One run of a daemon on one entry instance; a restarted daemon is another member.
using MemberName = StrongName<MemberTag>;

} // namespace Base
