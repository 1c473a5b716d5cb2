#include "restarthistory.h"

using namespace std::chrono_literals;

namespace
{

constexpr int Workers = 8;
constexpr std::int64_t MilliCores = 16'000;
constexpr int Steps = 20;
constexpr auto LongestPause = 800ms;
constexpr auto LongestLag = 2s; // of the entry of a restarted worker, and until it is cut off
constexpr auto SoonAfter = 600ms; // before most owners have had a list of the restarted worker
constexpr auto EntryLifetime = 4500ms; // of a worker that does not reach the platform
constexpr auto LongestStop = 200ms;
constexpr double LateShare = 0.3;

} // namespace

RestartHistory::RestartHistory(std::uint32_t seed, Orders orders, Cuts cuts, FaultHistory::Builds builds)
    : history(seed, 1, builds)
    , m_orders(orders)
    , m_cuts(cuts)
{
    history.shortenLeases(seed % 2 == 0 ? 6s : 10s);
    history.world.ordersOutliveRestarts = true;
}

void RestartHistory::submitJob(std::uint32_t width)
{
    SimulatedPlatform &world = history.world;
    world.taskTime = history.pickTime(2s, 12s);
    const std::string id = "j" + std::to_string(m_lastJob++);
    Jobs::JobSpec job = SimulatedPlatform::makeJob(id, static_cast<std::uint32_t>(history.pick(1, 2)), width);
    if (history.pick(0, 1) == 0) {
        for (Jobs::Stage &it : job.stages) {
            it.estimate = world.taskTime;
        }
    }
    const Base::Instant now = world.timers.now();
    if (history.submit(job)) {
        submittedAt[id] = now;
    }
}

void RestartHistory::setCut(const std::string &id, const std::set<std::string> &members)
{
    SimulatedPlatform::Worker &worker = history.world.workers[id];
    (m_cuts == Cuts::OneWay ? worker.unheardBy : worker.unreachableFrom) = members;
}

void RestartHistory::cutOff(SimulatedPlatform::Worker &worker, Milliseconds delay)
{
    SimulatedPlatform &world = history.world;
    const std::string id = worker.info.id;
    const bool isDark = history.pick(0, 2) > 0;
    const bool losesEntry = history.pick(0, 2) == 0;
    std::set<std::string> members;
    for (const auto &[name, member] : world.members) {
        if (isDark || history.pick(0, 1) == 0) {
            members.insert(name);
        }
    }
    const Milliseconds end = delay + history.pickTime(4s, 12s);
    const int number = ++m_cutsOf[id];
    const auto after = [this, id, number](Milliseconds time, const std::function<void()> &change) {
        history.world.timers.subscribeAfter(time, [this, id, number, change] {
            if (m_cutsOf[id] == number) {
                change();
                history.world.publishWorkers();
            }
        });
    };
    world.timers.subscribeAfter(delay, [this, id, isDark, members] {
        std::set<std::string> all = members;
        if (isDark) {
            m_darkWorkers.insert(id);
            for (const auto &[name, member] : history.world.members) {
                all.insert(name);
            }
        }
        setCut(id, all);
    });
    if (losesEntry && delay + EntryLifetime < end) {
        after(delay + EntryLifetime, [this, id] { history.world.workers[id].isListed = false; });
    }
    after(end, [this, id] {
        m_darkWorkers.erase(id);
        history.world.workers[id].isListed = true;
        setCut(id, {});
    });
}

void RestartHistory::restartWorkers()
{
    SimulatedPlatform &world = history.world;
    const Milliseconds pause = history.pickTime(0ms, LongestPause);
    for (int n = history.pick(1, 2); n > 0; --n) {
        SimulatedPlatform::Worker &worker = history.anyWorker();
        worker.entryLag = history.pickTime(0ms, LongestLag);
        history.restart(worker, pause, pause);
        world.timers.subscribeAfter(pause + worker.entryLag, [&world] { world.publishWorkers(); });
        if (history.pick(0, 3) > 0) {
            const bool isSoon = history.pick(0, 2) > 0;
            cutOff(worker, pause + history.pickTime(0ms, isSoon ? SoonAfter : LongestLag));
        }
    }
    world.run(pause + history.pickTime(0ms, SoonAfter / 2));
    submitJob(Workers);
}

void RestartHistory::replaceOwner()
{
    SimulatedPlatform &world = history.world;
    SimulatedPlatform::Member *owner = world.owner(0);
    SimulatedPlatform::Member &member = owner ? *owner : history.anyMember();
    if (history.pick(0, 1) == 0) {
        history.killMember(member.name);
    } else {
        history.replaceMember(member);
    }
    for (const std::string &id : m_darkWorkers) {
        std::set<std::string> all;
        for (const auto &[name, it] : world.members) {
            all.insert(name);
        }
        setCut(id, all);
    }
}

std::vector<std::string> RestartHistory::play()
{
    SimulatedPlatform &world = history.world;
    history.addWorkers(Workers, MilliCores);
    for (auto &[id, worker] : world.workers) {
        worker.longestStop = LongestStop;
    }
    for (int n = 0; n < 3; ++n) {
        history.addMember();
    }
    world.run(2s);
    for (int step = 0; step < Steps; ++step) {
        const Base::Instant end = world.timers.now() + history.pickTime(1s, 4s);
        if (m_orders == Orders::Late) {
            SimulatedPlatform::Worker &worker = history.anyWorker();
            worker.delayedShare = worker.delayedShare > 0 ? 0 : LateShare;
        }
        switch (history.pick(0, 4)) {
        case 0:
        case 1:
        case 2:
            restartWorkers();
            break;
        case 3:
            cutOff(history.anyWorker(), history.pickTime(0ms, LongestLag));
            break;
        default:
            break;
        }
        submitJob(static_cast<std::uint32_t>(history.pick(1, 4)));
        if (history.pick(0, 2) == 0) {
            world.run(history.pickTime(0ms, LongestLag));
            replaceOwner();
        }
        if (end > world.timers.now()) {
            world.run(std::chrono::duration_cast<Milliseconds>(end - world.timers.now()));
        }
    }
    world.run(LongestPause + LongestLag);
    return history.finish(150s);
}
