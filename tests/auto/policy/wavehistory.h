#pragma once

#include "fleetmodel.h"

#include <functional>

/// What came of one seeded history of a maintenance wave.
struct WaveOutcome {
    std::size_t brokenSeconds = 0; ///< a service was below its floor for the planned stops alone
    std::size_t mostDown = 0; ///< instances in maintenance at once
    std::size_t rebooted = 0;
    std::size_t failedReboots = 0;
    std::size_t cutRequests = 0; ///< in flight on an instance when its reboot was requested
    bool isFinished = false;
    bool isStopped = false;
};

/// What goes wrong in a history. Racks are lost one after the other, never two at once.
struct WaveFaults {
    bool losesRacks = false;
    bool hasBadReboots = false; ///< most reboots fail from a random one on
};

/// Decides on events for the model; keeps its memory there.
using WavePlanner = std::function<std::vector<Fleet::Event>(FleetModel &model)>;

/// Two hours of a wave over two pools in one zone, in virtual time; the same seed brings the same faults to
/// every planner.
WaveOutcome runWave(std::uint64_t seed, const WaveFaults &faults, const WavePlanner &planner);

/// The planner under test.
std::vector<Fleet::Event> planByPolicy(FleetModel &model);

/// The naive version: Maintenance::mostAtOnce instances at a time, in the order of their names.
std::vector<Fleet::Event> planByCount(FleetModel &model);
