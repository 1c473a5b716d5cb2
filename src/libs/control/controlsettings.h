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
    Base::Duration plannerPeriod = std::chrono::milliseconds{500};
    Base::Duration plannerLease =
        std::chrono::seconds{10}; ///< a holder that is silent this long is superseded
    std::string peersAddress; ///< "IP:port" to listen on for the zone's other members
    std::uint64_t seed = 0;
};

} // namespace Control
