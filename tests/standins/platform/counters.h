#pragma once

#include <cstdint>

namespace PlatformStandin
{

/// What the stand-in has done since its start.
struct Counters {
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    std::uint64_t bytes = 0; ///< of append bodies
    std::uint64_t reads = 0;
    std::uint64_t readBytes = 0; ///< of the answers to reads
    std::uint64_t lists = 0;
    std::uint64_t actions = 0;
    std::uint64_t limited = 0; ///< appends refused for the limit
    std::uint64_t lost = 0; ///< answers lost
};

} // namespace PlatformStandin
