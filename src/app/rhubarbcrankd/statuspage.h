#pragma once

#include <control/controlstatus.h>
#include <gateway/callerduty.h>
#include <gateway/targetduty.h>
#include <settings/daemonsettings.h>

#include <string>

namespace Daemon
{

/// The /status page, as JSON.
std::string statusPage(const Settings::InstanceSettings &instance,
                       const Control::ControlStatus &control,
                       const Gateway::CallerCounters &callers,
                       const Gateway::TargetCounters &targets,
                       bool isReady);

/// The gateway's share of /metrics.
std::string gatewayMetrics(const Gateway::CallerCounters &callers, const Gateway::TargetCounters &targets);

} // namespace Daemon
