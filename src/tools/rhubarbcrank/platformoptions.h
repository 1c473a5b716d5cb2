#pragma once

#include "arguments.h"

#include <base/instant.h>
#include <fleet/charts.h>
#include <ini/mistake.h>
#include <ini/values.h>

#include <string>
#include <vector>

namespace Commands
{

/// What every command that speaks to the platform takes.
struct PlatformOptions {
    Ini::Endpoint platform;
    std::string shareFolder; ///< of the state charts
    Base::Duration patience{}; ///< how long the platform may be out, and a roll-out may take
};

/// The lines of a usage that explain these options.
std::string platformUsage();

/// Throws docopt::DocoptArgumentError.
PlatformOptions platformOptions(const Arguments &arguments);

/// The charts that the fold interprets, or what is wrong with them.
struct LoadedCharts {
    std::optional<Fleet::Charts> charts;
    std::vector<Ini::Mistake> mistakes;
};

LoadedCharts loadCharts(const std::string &shareFolder);

} // namespace Commands
