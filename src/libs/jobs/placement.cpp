#include "placement.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Jobs
{

namespace
{

bool hasLabel(const WorkerInfo &worker, const std::string &label)
{
    return label.empty()
        || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

// Without regard to what else is kept from the worker.
bool hasRoom(const Stage &stage, const Candidate &candidate, Base::Instant now)
{
    const Worker &worker = *candidate.worker;
    if (!worker.isUsable(now) || !hasLabel(worker.info, stage.requiredLabel)) {
        return false;
    }
    if (stage.tasksPerWorker > 0 && candidate.tasksOfStage >= stage.tasksPerWorker) {
        return false;
    }
    Resources room = worker.info.capacity;
    room -= worker.used;
    return room.contains(reservedResources(stage));
}

bool fits(const Stage &stage, const Candidate &candidate, Base::Instant now)
{
    return candidate.worker->emptiedUntil <= now && hasRoom(stage, candidate, now);
}

std::int64_t freeCores(const Worker &worker)
{
    return worker.info.capacity.milliCores - worker.used.milliCores;
}

// Lower is better. The penalty for remote data outweighs any difference in free cores.
std::int64_t cost(const Stage &stage, const Candidate &candidate)
{
    constexpr std::int64_t RemoteDataPenalty = 1'000'000'000;
    const Worker &worker = *candidate.worker;
    const std::int64_t left = freeCores(worker);
    std::int64_t sum = 0;
    if (!stage.dataRack.empty() && worker.info.rack != stage.dataRack) {
        sum += RemoteDataPenalty;
    }
    return sum + left;
}

} // namespace

Resources reservedResources(const Stage &stage)
{
    Resources size = stage.size;
    if (stage.isBestEffort) {
        size.milliCores = 0;
    }
    return size;
}

Worker *chooseWorker(const Stage &stage,
                     std::span<const Candidate> candidates,
                     Base::Instant now,
                     std::string_view excluded)
{
    Worker *best = nullptr;
    std::int64_t bestCost = 0;
    for (const Candidate &it : candidates) {
        if (it.worker->info.id == excluded || !fits(stage, it, now)) {
            continue;
        }
        const std::int64_t candidateCost = cost(stage, it);
        if (!best || candidateCost < bestCost) {
            best = it.worker;
            bestCost = candidateCost;
        }
    }
    return best;
}

Worker *chooseWorkerApart(const Stage &stage, std::span<const Candidate> candidates, Base::Instant now)
{
    const auto rank = [](const Worker &it) {
        return std::make_tuple(it.isolatedRuns.size(), it.suspects.size(), -freeCores(it));
    };
    Worker *best = nullptr;
    for (const Candidate &it : candidates) {
        if ((!best || rank(*it.worker) < rank(*best)) && !it.worker->isAnswerOverdue(now)
            && fits(stage, it, now)) {
            best = it.worker;
        }
    }
    return best;
}

Worker *chooseEmptyWorker(const Stage &stage, std::span<const Candidate> candidates, Base::Instant now)
{
    Worker *best = nullptr;
    for (const Candidate &it : candidates) {
        const bool isBetter = !best || it.worker->info.capacity.milliCores < best->info.capacity.milliCores;
        const bool isEmpty = !it.worker->hasRuns() && !it.worker->isAnswerOverdue(now);
        if (isBetter && isEmpty && hasRoom(stage, it, now)) {
            best = it.worker;
        }
    }
    return best;
}

std::vector<Worker *> chooseGangWorkers(const Stage &stage, std::span<const Candidate> all, Base::Instant now)
{
    std::vector<std::string> racks;
    if (stage.isRackSensitive) {
        for (const Candidate &it : all) {
            if (std::find(racks.begin(), racks.end(), it.worker->info.rack) == racks.end()) {
                racks.push_back(it.worker->info.rack);
            }
        }
    }
    racks.emplace_back();
    for (const std::string &rack : racks) {
        std::vector<Candidate> candidates;
        std::copy_if(all.begin(), all.end(), std::back_inserter(candidates), [&](const Candidate &it) {
            return rack.empty() || it.worker->info.rack == rack;
        });
        std::vector<Worker *> places;
        while (places.size() < stage.count) {
            Worker *worker = chooseWorker(stage, candidates, now);
            if (!worker) {
                break;
            }
            worker->used += reservedResources(stage);
            places.push_back(worker);
            for (Candidate &it : candidates) {
                it.tasksOfStage += it.worker == worker ? 1 : 0;
            }
        }
        for (Worker *it : places) {
            it->used -= reservedResources(stage);
        }
        if (places.size() == stage.count) {
            return places;
        }
    }
    return {};
}

bool canHold(const WorkerInfo &worker, const Resources &capacity, const Stage &stage)
{
    return hasLabel(worker, stage.requiredLabel) && capacity.contains(reservedResources(stage));
}

bool canBePlaced(const Stage &stage, std::span<const WorkerInfo *const> workers)
{
    return std::any_of(workers.begin(), workers.end(), [&stage](const WorkerInfo *it) {
        return canHold(*it, it->capacity, stage);
    });
}

} // namespace Jobs
