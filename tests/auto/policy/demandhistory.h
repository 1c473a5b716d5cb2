#pragma once

#include "fleetmodel.h"

#include <functional>

/// What came of one seeded history of demand in one zone.
struct DemandOutcome {
    std::size_t moves = 0;
    std::size_t brokenSeconds = 0; ///< a service was below its floor for the planned moves alone
    double bufferSlots = 0; ///< idle slots of all pools but the spare one, on average
    double rollOutSeconds = 0; ///< from a lasting rise to enough slots for it, on average over the rises
    std::size_t lateRequests = 0;
    std::size_t requests = 0;
    std::size_t unfinished = 0; ///< still queued at the end

    DemandOutcome &operator+=(const DemandOutcome &other);
};

/// What the queues ask for. Surges: each queue in turn asks for five times its mean for some seconds, then
/// for a twentieth.
struct DemandShape {
    bool hasSurges = true;
    bool hasShifts = false; ///< now and then the mean of one queue changes and stays so
    bool losesRacks = false;
    bool lends = true; ///< surges are lent instances of the spare pool
    Document::Weights weights;
    int seconds = 7200;
};

using MovePlanner = std::function<std::vector<Fleet::Event>(FleetModel &model)>;

/// One zone of 17 instances, 8 slots each, five pools, four instances to a rack. The same seed brings the
/// same demand and the same losses to every planner.
DemandOutcome runDemand(std::uint64_t seed, const DemandShape &shape, const MovePlanner &planner);

/// The naive version: a move at every crossing of a utilization threshold.
std::vector<Fleet::Event> moveByThreshold(FleetModel &model);

/// No moves at all.
std::vector<Fleet::Event> moveNothing(FleetModel &model);

/// Buffer matters most.
inline constexpr Document::Weights PlaquewrightWeights{.buffer = 4, .moves = 1, .rollOutTime = 2};
/// Moves matter most.
inline constexpr Document::Weights KapotakshaWeights{.buffer = 1, .moves = 4, .rollOutTime = 2};
