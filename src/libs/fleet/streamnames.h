#pragma once

#include <base/names.h>

#include <string>

namespace Fleet
{

/// The stream of an environment's document edits, common to all zones.
inline std::string commonStream(const Base::EnvironmentName &environment)
{
    return environment.value;
}

/// The stream of one availability zone's decisions.
inline std::string zoneStream(const Base::EnvironmentName &environment,
                              const Base::AvailabilityZoneName &zone)
{
    return environment.value + '.' + zone.value;
}

} // namespace Fleet
