#pragma once

#include <cstddef>
#include <cstdint>

namespace Jobs
{

/// What a shard may hold in the memory of its owner.
struct MemoryLimits {
    std::size_t jobBytes = 8U << 20U; ///< sum of Job::memory(), beyond which jobs are refused
    /// Tasks of the occurrences that have been begun and are not done, beyond which no other one is begun.
    std::uint64_t begunTasks = 20'000;
};

/// The limits of each of `shards` shards, so that a process with this memory may own all of them.
MemoryLimits memoryLimits(std::size_t processBytes, std::size_t shards);

} // namespace Jobs
