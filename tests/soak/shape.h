#pragma once

#include <jobs/jobspec.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Soak
{

using Jobs::Milliseconds;

/// A positive random size, log-normal with an upper bound.
struct Size {
    double mean = 1;
    double spread = 0; ///< standard deviation as a share of the mean
    double most = 1;

    double draw(std::mt19937 &random) const;
};

/// The jobs of a queue and how often they come.
struct Queue {
    std::string name;
    std::string service;
    std::string prefix; ///< of its path
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 4;
    double slackFactor = 1.6;
    Milliseconds targetLatency{600};
    double perSecond = 0; ///< in the mean; long-running jobs are submitted once, before the others
    std::uint32_t turn = 0; ///< which of the turns of the demand is the queue's
    Size stages;
    Size width;
    Size milliCores;
    Size memory; ///< MB
    Size work; ///< ms
    std::uint32_t tasksPerWorker = 0; ///< of a stage; 0: no limit
    double estimateError = 0.5; ///< estimates are off by up to this share
    double checkpointShare = 0; ///< of jobs whose tasks have checkpoints
    double cancelShare = 0; ///< of jobs that are cancelled
    bool isLongRunning = false;
};

struct Service {
    std::string name;
    std::size_t machines = 0;
    bool isStandby = false;
    bool enforcesCapacity = true;
};

struct Workspace {
    std::string name;
    std::string key;
    double weight = 1; ///< accepted jobs per second, and its share of the load
    Jobs::Resources quota;
};

/// A deployment: what the members meet, and the load.
struct Shape {
    std::vector<std::string> zones{"zone-a", "zone-b", "zone-c"};
    std::size_t members = 42;
    std::size_t strongMembers = 6;
    std::vector<Service> services;
    std::vector<Queue> queues;
    std::vector<Workspace> workspaces;
    Jobs::Resources machine{32'000, 131'072, 0};
    std::size_t machinesPerRack = 20;
    std::uint32_t longRunningJobs = 2; ///< of each long-running queue
    Milliseconds turnTime{4500};
    double turnFactor = 4; ///< load in a queue's own turn against the mean
    double idleFactor = 0.05; ///< load in the other turns against the mean
    double longShare = 0; ///< of jobs whose tasks outlast leases
};

/// The shape whose load and fleet are `scale` times those of a deployment with 42 members, 350 machines, 20
/// workspaces and tasks that need more memory than cores. `quotaScale` is applied to the quotas in addition.
Shape makeShape(double scale, std::size_t members, double quotaScale);

/// The configuration as the operator writes it.
std::string configuration(const Shape &shape, std::uint64_t version);

} // namespace Soak
