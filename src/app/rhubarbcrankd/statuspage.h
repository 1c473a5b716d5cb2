#pragma once

#include <control/controlstatus.h>
#include <gateway/callerfrontend.h>
#include <gateway/targetdispatcher.h>
#include <settings/daemonsettings.h>

#include <string>

namespace Daemon
{

/// Returns the content of the /status page as JSON.
std::string statusPage(const Settings::InstanceSettings &instance,
                       const Control::ControlStatus &control,
                       const Gateway::CallerCounters &callers,
                       const Gateway::TargetCounters &targets,
                       bool isReady);

/// Returns the gateway metrics of the /metrics page.
std::string gatewayMetrics(const Gateway::CallerCounters &callers, const Gateway::TargetCounters &targets);

} // namespace Daemon
