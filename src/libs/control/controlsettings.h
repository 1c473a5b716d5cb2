#pragma once

#include <base/instant.h>
#include <base/names.h>
#include <platform/httpsettings.h>

#include <cstdint>
#include <string>

namespace Control
{

struct ControlSettings {
    Base::EnvironmentName environment;
    Base::AvailabilityZoneName zone;
    std::string instance; ///< this entry instance's name in the platform's list
    std::string chartsFolder;
    Platform::HttpSettings platform;
    Base::Duration listPeriod =
        std::chrono::milliseconds{1000}; ///< between two readings of the instance list
    std::uint64_t seed = 0;
};

} // namespace Control
