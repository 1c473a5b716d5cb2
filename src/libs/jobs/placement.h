#pragma once

#include "worker.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Jobs
{

/// What matters of a worker for placing a task of one stage.
struct Candidate {
    Worker *worker = nullptr;
    std::uint32_t tasksOfStage = 0; ///< running there already
};

/// The worker on which a task of `stage` is best started now; null when none has room.
/// `excluded` is the ID of a worker that is not to be taken.
/// Answers a load of many sizes on workers that are nearly full: the tightest fit keeps room for wide tasks,
/// and leaves workers empty that can then be given to another service.
Worker *chooseWorker(const Stage &stage,
                     std::span<const Candidate> candidates,
                     Base::Instant now,
                     std::string_view excluded = {});

/// False when no worker of the list could hold a task of `stage` even if it were empty.
bool couldEverRun(const Stage &stage, std::span<const WorkerInfo *const> workers);

/// What a task of `stage` takes from its worker's room.
Resources reservedResources(const Stage &stage);

} // namespace Jobs
