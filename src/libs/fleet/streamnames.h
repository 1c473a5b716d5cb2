#pragma once

#include <base/names.h>

#include <string>

namespace Fleet
{

/// The name of the stream of document edits, common to all zones of the environment.
inline std::string commonStream(const Base::EnvironmentName &environment)
{
    return environment.value;
}

/// The name of the stream of one availability zone's records.
inline std::string zoneStream(const Base::EnvironmentName &environment,
                              const Base::AvailabilityZoneName &zone)
{
    return environment.value + '.' + zone.value;
}

} // namespace Fleet
