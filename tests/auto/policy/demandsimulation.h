#pragma once

#include "fleetmodel.h"

#include <functional>

/// Result of one simulated demand history of one zone.
struct DemandOutcome {
    std::size_t moves = 0;
    std::size_t violationSeconds =
        0; ///< in which a service was below its minimum only because of planned moves
    double bufferSlots = 0; ///< mean idle slots of all pools except the spare pool
    double rollOutSeconds = 0; ///< mean time from a lasting rise in demand to enough slots for it
    std::size_t lateRequests = 0;
    std::size_t requests = 0;
    std::size_t unfinished = 0; ///< still queued at the end

    DemandOutcome &operator+=(const DemandOutcome &other);
};

/// Scenario of a simulated demand history. With surges, the queues take turns in requesting five times their
/// mean for several seconds, and request a twentieth of it otherwise.
struct DemandScenario {
    bool hasSurges = true;
    bool hasShifts = false; ///< occasionally the mean of one queue changes permanently
    bool hasRackFailures = false;
    bool hasLending = true; ///< instances of the spare pool are lent to surging pools
    Document::Weights weights;
    int seconds = 7200;
};

using MovePlanner = std::function<std::vector<Fleet::Event>(FleetModel &model)>;

/// Simulates one zone of 17 instances with 8 slots each, in five pools and five racks of up to four
/// instances. The same seed produces the same demand and the same rack losses for every planner.
DemandOutcome simulateDemand(std::uint64_t seed, const DemandScenario &shape, const MovePlanner &planner);

/// Baseline planner: starts a move whenever a utilization threshold is crossed.
std::vector<Fleet::Event> planMovesByThreshold(FleetModel &model);

/// Baseline planner that makes no moves.
std::vector<Fleet::Event> planNoMoves(FleetModel &model);

/// Weights that favour a small buffer.
inline constexpr Document::Weights PlaquewrightWeights{.buffer = 4, .moves = 1, .rollOutTime = 2};
/// Weights that favour few moves.
inline constexpr Document::Weights KapotakshaWeights{.buffer = 1, .moves = 4, .rollOutTime = 2};
