#pragma once

#include <cstddef>

/// What a process has held of its machine.
struct Footprint {
    std::size_t peakBytes = 0; ///< of resident memory, since the process started
    std::size_t descriptors = 0; ///< open now
};

/// All zero for a process that has ended.
Footprint footprintOf(int pid);
