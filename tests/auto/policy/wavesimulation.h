#pragma once

#include "fleetmodel.h"

#include <functional>

/// Result of one simulated maintenance wave.
struct WaveOutcome {
    std::size_t violationSeconds =
        0; ///< in which a service was below its minimum only because of planned stops
    std::size_t maxInMaintenance = 0; ///< most instances in maintenance at the same time
    std::size_t rebooted = 0;
    std::size_t failedReboots = 0;
    std::size_t interruptedRequests = 0; ///< in flight on an instance when its reboot was requested
    bool isFinished = false;
    bool isStopped = false;
};

/// Faults that are injected into a simulation. At most one rack is lost at a time.
struct WaveFaults {
    bool hasRackFailures = false;
    bool hasFailingReboots = false; ///< after a random number of reboots, most further ones fail
};

/// Returns the events to apply to the model, which also holds the planner's memory.
using WavePlanner = std::function<std::vector<Fleet::Event>(FleetModel &model)>;

/// Simulates two hours of a maintenance wave over two pools in one zone in virtual time. The same seed
/// produces the same faults for every planner.
WaveOutcome simulateWave(std::uint64_t seed, const WaveFaults &faults, const WavePlanner &planner);

/// Runs the planner under test.
std::vector<Fleet::Event> planByPolicy(FleetModel &model);

/// Baseline planner: maintains Maintenance::maxConcurrent instances at a time in the order of their names.
std::vector<Fleet::Event> planByCount(FleetModel &model);
