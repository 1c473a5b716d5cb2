#include "faulthistory.h"

#include <algorithm>
#include <iterator>

using namespace std::chrono_literals;
using JobService::ReportedState;

FaultHistory::FaultHistory(std::uint32_t seed, std::uint32_t cells, Builds builds)
    : world(seed, cells)
    , m_seed(seed)
    , m_builds(builds)
    , m_random(seed)
{
    world.splitIntoCells(cells);
}

void FaultHistory::shortenLeases(Milliseconds leaseLimit)
{
    world.leaseLimit = leaseLimit;
    world.settings.shard.lease = 3s;
    world.settings.shard.leaseLimit = leaseLimit;
}

void FaultHistory::addWorkers(int count, std::int64_t milliCores)
{
    for (int n = 0; n < count; ++n) {
        SimulatedPlatform::Worker &worker = world.addWorker("w" + std::to_string(n), milliCores);
        worker.clockRate = n % 2 == 0 ? 1.0 : 0.98;
        worker.info.rack = "r" + std::to_string(n);
        worker.info.labels = {"a", worker.info.rack};
    }
}

void FaultHistory::addMember()
{
    auto &member = world.addMember("m" + std::to_string(++m_lastMember));
    if (m_builds == Builds::Two && m_lastMember % 2 == 0) {
        member.platform.isEarlierBuild = true;
        member.host.setQueueHistory(nullptr);
    }
}

int FaultHistory::pick(int least, int most)
{
    return std::uniform_int_distribution<>(least, most)(m_random);
}

FaultHistory::Milliseconds FaultHistory::pickTime(Milliseconds least, Milliseconds most)
{
    return Milliseconds(pick(static_cast<int>(least.count()), static_cast<int>(most.count())));
}

SimulatedPlatform::Worker &FaultHistory::anyWorker()
{
    return std::next(world.workers.begin(), pick(0, static_cast<int>(world.workers.size()) - 1))->second;
}

SimulatedPlatform::Member &FaultHistory::anyMember()
{
    return *std::next(world.members.begin(), pick(0, static_cast<int>(world.members.size()) - 1))->second;
}

void FaultHistory::restart(SimulatedPlatform::Worker &worker,
                           Milliseconds shortestPause,
                           Milliseconds longestPause)
{
    if (worker.isUp) {
        const bool isSilent = pick(0, 1) == 0;
        world.crash(worker.info.id,
                    pickTime(shortestPause, longestPause),
                    isSilent ? SimulatedPlatform::CrashKind::Silent : SimulatedPlatform::CrashKind::Reset);
    }
}

bool FaultHistory::submit(const Jobs::JobSpec &job)
{
    const bool isAccepted = world.submit(job, 600ms);
    if (isAccepted) {
        accepted.push_back(job.id);
    }
    return isAccepted;
}

void FaultHistory::killMember(const std::string &name)
{
    world.kill(name);
    addMember();
}

void FaultHistory::replaceMember(SimulatedPlatform::Member &member)
{
    const std::string name = member.name;
    member.host.stop([] {});
    addMember();
    world.run(pickTime(50ms, 500ms));
    world.kill(name);
}

void FaultHistory::causeTrouble()
{
    SimulatedPlatform::Worker &worker = anyWorker();
    SimulatedPlatform::Member &member = anyMember();
    switch (pick(0, 10)) {
    case 0:
        restart(worker, 0s, 4s);
        break;
    case 1:
        worker.unreachableFrom.insert(member.name);
        break;
    case 2:
        worker.unreachableFrom.clear();
        break;
    case 3:
        worker.delayedShare = 0.3;
        break;
    case 4:
        worker.delayedShare = 0;
        break;
    case 5:
        killMember(member.name);
        break;
    case 6:
        member.platform.isStoreDown = !member.platform.isStoreDown;
        break;
    case 7:
        world.isStoreDown = !world.isStoreDown;
        break;
    case 8:
        member.platform.losesAnswers = !member.platform.losesAnswers;
        member.platform.losesRenewalAnswers = member.platform.losesAnswers && pick(0, 1) == 0;
        break;
    case 9:
        if (!accepted.empty()) {
            // Without an answer it is unknown whether the job was cancelled, so its end is not checked.
            if (world.cancel(accepted.back())) {
                world.cancelled.insert(accepted.back());
            }
            accepted.pop_back();
        }
        break;
    case 10:
        replaceMember(member);
        break;
    }
    world.publishWorkers();
}

void FaultHistory::cutOff(SimulatedPlatform::Worker &worker, Milliseconds time, bool isOneWay)
{
    for (const auto &[name, member] : world.members) {
        (isOneWay ? worker.unheardBy : worker.unreachableFrom).insert(name);
    }
    world.timers.subscribeAfter(time, [&worker] {
        worker.unheardBy.clear();
        worker.unreachableFrom.clear();
    });
}

bool FaultHistory::isOver(const std::string &job)
{
    const auto state = world.state(job);
    if (state == ReportedState::Failed) {
        failed.insert(job);
    }
    return state == ReportedState::Completed || state == ReportedState::Failed;
}

void FaultHistory::endFaults()
{
    world.isStoreDown = false;
    world.failureShare = 0;
    for (auto &[id, worker] : world.workers) {
        worker.unreachableFrom.clear();
        worker.unheardBy.clear();
        worker.delayedShare = 0;
    }
    for (auto &[name, member] : world.members) {
        member->platform.isStoreDown = false;
        member->platform.losesAnswers = false;
        member->platform.losesRenewalAnswers = false;
    }
}

std::vector<std::string> FaultHistory::finish(std::chrono::seconds time)
{
    endFaults();
    const bool forgetsJobs = time >= world.settings.shard.retention;
    for (auto n = 0s; n < time; ++n) {
        world.run(1s);
        world.publishWorkers();
        if (forgetsJobs) {
            std::erase_if(accepted, [this](const std::string &it) { return isOver(it); });
        }
    }
    std::vector<std::string> found = world.runsOfCancelledJobs();
    found.insert(found.end(), world.violations.begin(), world.violations.end());
    for (const std::string &it : accepted) {
        if (!isOver(it)) {
            found.push_back(it + " is not done" + world.describe(it));
        }
    }
    const std::string prefix = "seed " + std::to_string(m_seed) + ": ";
    for (std::string &it : found) {
        it.insert(0, prefix);
    }
    return found;
}
