#pragma once

#include <settings/daemonsettings.h>

#include <memory>
#include <string>

namespace Daemon
{

/// One entry instance: starts the duties and joins them.
class Daemon
{
public:
    /// Throws std::exception when an address can't be listened on or a chart can't be loaded.
    Daemon(const Settings::DaemonSettings &settings, const std::string &shareFolder);
    ~Daemon();

    /// Runs until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit status: 0, or 1 when
    /// requests were still in flight at the end of the shutdown timeout.
    int run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Daemon
