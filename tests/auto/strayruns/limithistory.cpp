#include "limithistory.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace
{

constexpr int Workers = 6;
constexpr std::int64_t TaskCores = 1000; // in thousandths
constexpr int Steps = 30;
constexpr auto LongestStop = 1s;
constexpr auto ShortestCut = 2s;
constexpr auto LongestCut = 7s; // leases last 3 s
constexpr const char *Workspace = "small";

} // namespace

LimitHistory::LimitHistory(std::uint32_t seed, FaultHistory::Builds builds)
    : history(seed, 1, builds)
{
    history.shortenLeases(6s);
    history.world.setQuotas({{Workspace, {TaskCores * history.pick(16, 20), 0, 0}}});
    history.addWorkers(Workers, TaskCores * history.pick(6, 12));
    for (auto &[id, worker] : history.world.workers) {
        worker.enforcesCapacity = history.pick(0, 1) == 0;
        worker.longestStop = history.pickTime(0ms, LongestStop);
    }
    for (int n = 0; n < 3; ++n) {
        history.addMember();
    }
}

// A gang fits even if a worker is missing. It has at most 3/8 of each quota: if less than 5/8 is used, a
// larger one may start beyond the quota.
void LimitHistory::limit(Jobs::Stage &stage)
{
    stage.tasksPerWorker = static_cast<std::uint32_t>(history.pick(1, 2));
    stage.isGang = history.pick(0, 5) == 0;
    const auto width = static_cast<std::uint32_t>(history.pick(6, 14));
    stage.count = stage.isGang ? std::min(stage.tasksPerWorker * (Workers - 1), 6U) : width;
}

void LimitHistory::submitJob()
{
    SimulatedPlatform &world = history.world;
    world.taskTime = history.pickTime(500ms, 3s);
    const std::string id = "j" + std::to_string(m_lastJob++);
    const bool isLongRunning = history.pick(0, 9) == 0;
    const int stages = isLongRunning ? 1 : history.pick(1, 2);
    Jobs::JobSpec job = SimulatedPlatform::makeJob(id, static_cast<std::uint32_t>(stages), 1);
    for (Jobs::Stage &it : job.stages) {
        limit(it);
        it.isGang = it.isGang && !isLongRunning;
        it.isLongRunning = isLongRunning;
        it.estimate = world.taskTime;
    }
    job.workspace = !isLongRunning && history.pick(0, 1) == 0 ? Workspace : "";
    if (history.submit(job) && isLongRunning) {
        history.accepted.pop_back();
        m_longRunning.push_back(id);
    }
}

std::vector<std::string> LimitHistory::cancelLongRunningJobs()
{
    std::vector<std::string> found;
    for (const std::string &it : m_longRunning) {
        if (history.world.cancel(it)) {
            history.world.cancelled.insert(it);
        } else {
            found.push_back(it + " can't be cancelled");
        }
    }
    return found;
}

std::vector<std::string> LimitHistory::play()
{
    SimulatedPlatform &world = history.world;
    world.run(2s);
    world.failureShare = 0.02;
    for (int step = 0; step < Steps; ++step) {
        submitJob();
        if (history.pick(0, 1) == 0) {
            history.cutOff(
                history.anyWorker(), history.pickTime(ShortestCut, LongestCut), history.pick(0, 3) == 0);
        }
        history.causeTrouble();
        world.run(history.pickTime(50ms, 1500ms));
    }
    history.endFaults();
    world.run(20s);
    std::vector<std::string> found = cancelLongRunningJobs();
    const std::vector<std::string> others = history.finish(150s);
    found.insert(found.end(), others.begin(), others.end());
    return found;
}
