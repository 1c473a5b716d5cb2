#include "memorylimits.h"

#include "job.h"

#include <algorithm>

namespace Jobs
{

namespace
{

// Of the memory of the process. Connections have two fifths, and begun tasks may take half as much again, see
// Shard::mayBegin().
constexpr std::size_t JobsPercent = 12;
constexpr std::size_t TasksPercent = 17;

// A shard may have to be taken over by a process with less memory.
constexpr std::size_t MaxJobsBytes = 24U << 20U;
constexpr std::size_t MaxTasksBytes = 30U << 20U;

} // namespace

MemoryLimits memoryLimits(std::size_t processBytes, std::size_t shards)
{
    const std::size_t parts = std::max<std::size_t>(1, shards);
    return {.jobBytes = std::min(MaxJobsBytes, processBytes / 100 * JobsPercent) / parts,
            .begunTasks = std::min(MaxTasksBytes, processBytes / 100 * TasksPercent) / parts / sizeof(Task)};
}

} // namespace Jobs
