#pragma once

#include <settings/daemonsettings.h>

#include <memory>
#include <string>

namespace Daemon
{

/// An entry instance: starts the control, request, claim and telemetry threads, and stops them at shutdown.
class Daemon
{
public:
    /// Throws std::exception if it cannot listen on an address or cannot load a state chart.
    Daemon(const Settings::DaemonSettings &settings, const std::string &shareFolder);
    ~Daemon();

    /// Runs until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit status: 0, or 1 if
    /// the shutdown timeout expired before shutdown was complete.
    int run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Daemon
