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
    std::string instance; ///< name of this entry instance in the platform's instance list
    std::string chartsFolder;
    Platform::HttpSettings platform;
    Base::Duration listPeriod =
        std::chrono::milliseconds{1000}; ///< interval between reads of the instance list
    Base::Duration plannerPeriod = std::chrono::milliseconds{500};
    Base::Duration plannerLease =
        std::chrono::seconds{10}; ///< a lease holder that does not respond for this long is superseded
    std::string peersAddress; ///< "IP:port" on which to listen for the other members of the zone
    std::uint64_t seed = 0;
};

} // namespace Control
