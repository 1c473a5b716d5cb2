#pragma once

#include "step.h"

#include <base/instant.h>
#include <fleet/fold.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Replay
{

/// What one pool, or all of them together, cost.
struct PoolReport {
    Base::PoolName pool; ///< empty for the total
    double idleSlotSeconds = 0; ///< the buffer: slots that served the pool and executed nothing
    double slotSeconds = 0; ///< slots that served the pool
    std::size_t movesIn = 0;
    std::size_t movesOut = 0;
    std::size_t abortedMoves = 0; ///< by the pool that they were to leave; edits and failures count too
    std::size_t reboots = 0; ///< that succeeded
    std::size_t failedReboots = 0;
    Base::Duration rollOutTime{}; ///< from the first maintenance of each wave to its last, summed over waves

    /// The share of its slots that the pool held in reserve, 0 to 1.
    double bufferShare() const;
    bool operator==(const PoolReport &) const = default;
};

/// What the planner saw at one moment, over all pools.
struct Sample {
    Base::Duration at{}; ///< since the first observation
    double availableSlots = 0;
    double busySlots = 0;
    std::size_t movesSoFar = 0;

    bool operator==(const Sample &) const = default;
};

/// What the record of one zone says of costs. Time is what planners observed on their own clocks; the time
/// between the last pass of one term and the first of the next isn't known and counts as none.
struct Report {
    Base::AvailabilityZoneName zone;
    Base::Duration observedTime{};
    std::size_t acceptedEdits = 0;
    std::size_t refusedEdits = 0;
    PoolReport total;
    std::vector<PoolReport> pools; ///< sorted by name
    std::vector<Sample> samples;

    bool operator==(const Report &) const = default;
};

/// Reads the record of one zone, which begins where `start` stands.
Report report(const Fleet::Fold &start, const Streams &streams);

/// A table, one line for each pool and one for the total.
std::string toText(const Report &report);

/// The same and the samples, as a JSON object.
std::string toJson(const Report &report);

/// A plot of available and busy slots and of moves over time.
std::string toSvg(const Report &report);

} // namespace Replay
