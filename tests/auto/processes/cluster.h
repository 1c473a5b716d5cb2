#pragma once

#include "process.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// What a cluster consists of.
struct ClusterShape {
    std::size_t daemons = 2;
    std::vector<std::string> targetFaults{"none", "none"}; ///< one for each target, see recordingtarget.cpp
    std::string settings{}; ///< further lines of the daemons' settings, after their section [platform]
    std::string callersSettings{}; ///< further lines of their section [callers]
    std::map<std::size_t, std::uint16_t> targetPorts{}; ///< that the document gives in place of targets' own
    /// Where the daemons find the platform, given its port; nothing: there.
    std::function<std::uint16_t(std::uint16_t)> platformFront{};
};

/// One request that a target executed.
struct Execution {
    std::string target;
    std::string key;
    std::string marker;
};

/// A platform stand-in, targets and daemons of one availability zone as processes of their own. The
/// document's services are "preview" (idempotent, /preview) and "proofs" (not idempotent, /proofs).
class Cluster
{
public:
    Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;
    ~Cluster();

    /// Returns when every daemon has the document in force; false when that takes too long.
    bool start(const ClusterShape &shape = {});

    /// Starts daemon n, in place of the one before; false when it doesn't come up.
    bool startDaemon(std::size_t n);

    /// Ends target n, and starts another in its place.
    bool restartTarget(std::size_t n);

    /// Tells the platform's list, with one target leaving.
    void listInstances(std::string_view leaving = {});

    /// Sets the platform's faults, a JSON object, in place of the ones before.
    bool setFaults(const std::string &faults);
    std::uint64_t platformCount(const std::string &counter);

    /// The targets that the platform was asked to reboot, in order.
    std::vector<std::string> reboots();

    /// The command line's publish, of a document with this weight of moves, and this number of a maintenance
    /// wave over all targets.
    std::unique_ptr<Process> publish(int moves, const std::vector<std::string> &options = {}, int wave = 0);

    /// The command line's replay of the record.
    std::unique_ptr<Process> replay();

    Process &platform();
    Process &daemon(std::size_t n);
    Process &target(std::size_t n);
    std::uint16_t callersPort(std::size_t n);
    std::uint16_t operatorsPort(std::size_t n);
    std::uint16_t targetPort(std::size_t n);

    bool isReady(std::size_t n);

    /// Number or flag on the daemon's status page, 0 when it doesn't answer.
    std::uint64_t statusOf(std::size_t n, const std::string &key);

    std::vector<Execution> executions() const;
    std::size_t executionsOf(std::string_view target) const;

private:
    std::filesystem::path file(const std::string &name);
    std::string document(int moves, int wave);
    std::string platformAddress() const;
    bool startTarget(std::size_t n, std::uint16_t port);
    std::string settingsOf(std::size_t n);

    std::filesystem::path m_folder;
    ClusterShape m_shape;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_targets;
    std::vector<std::unique_ptr<Process>> m_daemons;
    std::vector<std::uint16_t> m_peersPorts;
    std::size_t m_files = 0;
};
