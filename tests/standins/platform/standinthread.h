#pragma once

#include "counters.h"
#include "faults.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace PlatformStandin
{

/// The stand-in on a thread of a test's own process, listening on a loopback port.
class StandinThread
{
public:
    explicit StandinThread(std::size_t retention = 0);
    StandinThread(const StandinThread &) = delete;
    StandinThread &operator=(const StandinThread &) = delete;
    ~StandinThread();

    std::uint16_t port() const;

    /// Returns when they are in force.
    void setFaults(const Faults &faults);

    Counters counters() const;

    /// Connections open now fall silent for good; new ones work.
    void silenceOpenConnections();

    /// A JSON array, in the protocol's form.
    void setInstances(const std::string &json);

private:
    struct Runner;
    std::unique_ptr<Runner> m_runner;
};

} // namespace PlatformStandin
