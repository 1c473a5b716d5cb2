#pragma once

#include "worker.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jobs
{

/// A worker that a task of a stage may be placed on.
struct Candidate {
    Worker *worker = nullptr;
    std::uint32_t tasksOfStage = 0; ///< number of the stage's tasks on the worker
};

/// Returns the best worker to start a task of `stage` on now, or null if none has room. `excluded` is the ID
/// of a worker that must not be chosen. Uses best fit: with tasks of many sizes on nearly full workers this
/// keeps room for large tasks, and leaves workers empty, which can then be moved to another service.
Worker *chooseWorker(const Stage &stage,
                     std::span<const Candidate> candidates,
                     Base::Instant now,
                     std::string_view excluded = {});

/// Returns the best worker for a task under which a worker has crashed: the emptiest of those with the fewest
/// other such tasks, or null if there is none. A worker whose answer is overdue may be gone, and would count
/// as the next crash; this holds for chooseEmptyWorker(), too.
Worker *chooseWorkerApart(const Stage &stage, std::span<const Candidate> candidates, Base::Instant now);

/// Returns the smallest worker that a task of `stage` fits on and that runs nothing, or null if there is
/// none.
Worker *chooseEmptyWorker(const Stage &stage, std::span<const Candidate> candidates, Base::Instant now);

/// Returns a worker for each task of the gang `stage`, or none if not all of them have room. If the stage is
/// rack-sensitive, single racks are tried first.
std::vector<Worker *>
chooseGangWorkers(const Stage &stage, std::span<const Candidate> all, Base::Instant now);

/// Whether a task of `stage` would fit on the worker if it had this capacity and were empty.
bool canHold(const WorkerInfo &worker, const Resources &capacity, const Stage &stage);

/// Whether a task of `stage` would fit on any of the workers if they were empty.
bool canBePlaced(const Stage &stage, std::span<const WorkerInfo *const> workers);

/// The resources that a task of `stage` reserves on its worker.
Resources reservedResources(const Stage &stage);

} // namespace Jobs
