#pragma once

#include "job.h"
#include "worker.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Jobs
{

/// Jobs of one workspace and service that have no run although tasks of them are ready, for one reason.
struct WaitReport {
    std::string workspace;
    std::string service;
    WaitReason reason = WaitReason::NoRoom;
    std::uint32_t jobs = 0;
    std::uint32_t tasks = 0; ///< ready tasks of these jobs
    const Job *longest = nullptr; ///< job that has waited longest
    std::uint32_t stage = 0; ///< of that job
    Milliseconds longestWait{};
};

/// Reports the jobs that have waited for at least `minWait`.
std::vector<WaitReport> waitReports(std::span<Job *const> jobs, Milliseconds minWait, Base::Instant now);

/// The workers of a service, as far as a stage can use them.
struct WorkerCounts {
    std::uint32_t listed = 0;
    std::uint32_t usable = 0;
    std::uint32_t evacuated = 0; ///< listed, and kept free for a move of the machine
    std::uint32_t silent = 0; ///< listed, and not answering
    std::uint32_t isolated = 0; ///< listed, and withheld for a task under which workers have crashed
    std::uint32_t emptied = 0; ///< listed, and without new runs until such a task can have it
    std::uint32_t backedOff = 0; ///< listed, and not used for a while after a failure
    std::uint32_t withRoom = 0; ///< usable ones that have the resources of a task
};

WorkerCounts countWorkers(const std::map<std::string, Worker> &workers,
                          std::string_view service,
                          const Stage &stage,
                          Base::Instant now);

} // namespace Jobs
