#pragma once

#include "declarations.h"

#include <ini/values.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Settings
{

struct JobInstanceSettings {
    std::string name;
    std::string zone;
    double cores = 1;
    double speed = 1; ///< of a core, against a usual one
    double linkMbps = 1000;
    std::uint32_t memoryMb = 0;
    std::uint32_t descriptors = 0;
};

struct ListenSettings {
    Ini::Endpoint address;
};

struct StoreSettings {
    Ini::Endpoint address;
    std::uint32_t shards = 0;
    Milliseconds minMembershipLifetime{};
    Milliseconds batchPeriod{};
};

struct WorkersSettings {
    Milliseconds leaseLimit{};
    Milliseconds lease{};
    Milliseconds renewal{};
    Milliseconds staleOwnerTimeout{};
    bool learnsRunTimes = true;
};

struct AdviceSettings {
    std::optional<Ini::Endpoint> address; ///< nothing: no queue has such a policy
};

struct MachinesSettings {
    Ini::Endpoint address;
    Milliseconds takeoverDelay{};
    double move = 0; ///< seconds
    double upkeep = 0; ///< seconds
    bool movesMachines = true;
};

struct ShutdownSettings {
    std::uint32_t grace = 0; ///< seconds
    Milliseconds notice{};
};

struct JobSettings {
    JobInstanceSettings instance;
    ListenSettings callers;
    ListenSettings readiness;
    ListenSettings peers;
    ListenSettings operators;
    StoreSettings store;
    WorkersSettings workers;
    AdviceSettings advice;
    MachinesSettings machines;
    ShutdownSettings shutdown;
};

/// The settings of rhubarbcrank-jobs.
const Declarations<JobSettings> &jobDeclarations();

} // namespace Settings
