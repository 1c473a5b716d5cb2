#pragma once

#include "declarations.h"

#include <base/logline.h>
#include <base/names.h>
#include <ini/values.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace Settings
{

struct InstanceSettings {
    std::string name;
    std::string zone;
    std::string environment;
};

struct CallersSettings {
    Ini::Endpoint address;
    Bytes headerLimit;
    Bytes bodyLimit;
    Milliseconds headerTimeout{};
    Milliseconds bodyTimeout{};
    Milliseconds idleTimeout{};
    std::uint32_t connectionLimit = 0;
    Bytes receiveLimit;
};

struct TargetsSettings {
    Milliseconds connectTimeout{};
    Milliseconds progressTimeout{}; ///< an exchange silent for longer is given up
    Milliseconds idleTimeout{};
    Milliseconds heartbeat{};
};

struct RequestsSettings {
    std::uint32_t inFlightLimit = 0;
    std::uint32_t queueLimit = 0;
    Bytes resendLimit;
    Bytes resendTotal;
    std::uint32_t retryBudgetPercent = 0;
    Milliseconds defaultDeadline{};
    Milliseconds drainNotice{}; ///< between readiness off and accepting no more
    Milliseconds shutdownTimeout{};
};

struct OperatorsSettings {
    Ini::Endpoint address;
};

struct PeersSettings {
    Ini::Endpoint address;
};

struct PlatformSettings {
    Ini::Endpoint address;
    Milliseconds poll{};
    Milliseconds requestTimeout{};
    Milliseconds claimsWindow{};
    Milliseconds claimBatch{};
};

struct TelemetrySettings {
    std::optional<Ini::Endpoint> tracesAddress; ///< nothing: no traces are sent
    std::uint32_t traceSamplePerMille = 0;
    Base::LogLevel logLevel = Base::LogLevel::Info;
};

struct PlannerSettings {
    Milliseconds lease{};
    Milliseconds period{};
};

struct FleetSettings {
    bool sharesSlots = false; ///< with the zone's other entry instances, by leases
    Milliseconds leaveBound{}; ///< an instance that is leaving gets no new work after this
};

struct DaemonSettings {
    InstanceSettings instance;
    CallersSettings callers;
    TargetsSettings targets;
    RequestsSettings requests;
    OperatorsSettings operators;
    PeersSettings peers;
    PlatformSettings platform;
    TelemetrySettings telemetry;
    PlannerSettings planner;
    FleetSettings fleet;
};

template<>
struct Spellings<Base::LogLevel> {
    static constexpr auto all()
    {
        using Base::LogLevel;
        return std::array<std::pair<LogLevel, std::string_view>, 4>{{{LogLevel::Debug, "debug"},
                                                                     {LogLevel::Info, "info"},
                                                                     {LogLevel::Warning, "warning"},
                                                                     {LogLevel::Error, "error"}}};
    }
};

/// The settings of rhubarbcrankd.
const Declarations<DaemonSettings> &daemonDeclarations();

} // namespace Settings
