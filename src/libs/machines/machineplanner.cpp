#include "machineplanner.h"

#include <base/logline.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Machines
{

namespace
{

// A list that was asked for so long after an order shows its effect.
constexpr Base::Duration ListLag = std::chrono::milliseconds{300};

// An order without effect after its time and this is given up.
constexpr Base::Duration OrderPatience = std::chrono::milliseconds{3000};

// An order without an answer may still be carried out after this.
constexpr Base::Duration LateOrderPatience = std::chrono::milliseconds{13'000};

// Older lists and demands decide nothing: after a break the first new ones are waited for.
constexpr Base::Duration ListLifetime = std::chrono::milliseconds{5000};
constexpr Base::Duration DemandLifetime = std::chrono::milliseconds{1500};

// A worker that was said to be empty gets nothing new for longer than this.
constexpr Base::Duration EmptyLifetime = std::chrono::milliseconds{600};

// A machine whose evacuation got nowhere is left alone for so long.
constexpr Base::Duration StuckPause = std::chrono::milliseconds{2000};

// A wave is to be done this much before its time is over.
constexpr Base::Duration WaveReserve = std::chrono::milliseconds{4000};

// What one machine's upkeep takes with its evacuation, for the pace of a wave.
constexpr Base::Duration UpkeepEstimate = std::chrono::milliseconds{5000};

// Below this share of its room a pool gives machines to upkeep ahead of need.
constexpr double IdleLoad = 0.5;

} // namespace

MachinePlanner::MachinePlanner(const PlannerSettings &settings)
    : m_settings(settings)
{
}

void MachinePlanner::setPools(std::span<const Pool> pools)
{
    m_pools.clear();
    for (const Pool &it : pools) {
        m_pools[it.name] = it;
    }
}

void MachinePlanner::setMachines(std::span<const Machine> machines, Base::Instant askedAt)
{
    m_machines.clear();
    m_byWorker.clear();
    for (const Machine &it : machines) {
        m_machines[it.id] = it;
        if (!it.worker.empty()) {
            m_byWorker[it.worker] = it.id;
        }
    }
    m_listedAt = askedAt;
}

void MachinePlanner::setDemand(const PoolDemand &demand, Base::Instant now)
{
    const auto before = m_demandAt.find(demand.pool);
    if (before == m_demandAt.end() || now - before->second > DemandLifetime) {
        m_neededAt[demand.pool] = now; // what was needed in between is not known
    }
    m_demandAt[demand.pool] = now;
    m_demands[demand.pool] = demand;
    m_forecasts[demand.pool].note(demand.arrivedWork, now);
    const auto up = std::count_if(m_machines.begin(), m_machines.end(), [&](const auto &it) {
        return it.second.pool == demand.pool && it.second.state == MachineState::Up;
    });
    const std::size_t wanted = machinesFor(demand.pool, demand.milliCores + demand.lateMilliCores);
    if (std::max(wanted, machinesNeeded(demand.pool)) >= static_cast<std::size_t>(up)) {
        m_neededAt[demand.pool] = now;
    }
}

void MachinePlanner::setWave(const Wave &wave)
{
    m_waves[wave.number].wave = wave;
}

void MachinePlanner::dropWave(std::uint64_t number)
{
    m_waves.erase(number);
}

void MachinePlanner::loadUpkeep(std::uint64_t wave, const std::string &machine)
{
    m_waves[wave].begun.insert(machine);
}

void MachinePlanner::loadOrder(const std::string &machine, Base::Instant at)
{
    m_ordersFrom[machine] = at + m_settings.handOver;
}

bool MachinePlanner::evacuated(const std::string &worker, bool isEmpty, Base::Instant now)
{
    bool isNews = false;
    for (auto &[id, work] : m_work) {
        if (work.worker == worker && work.step != Step::Down) {
            isNews = isNews || (isEmpty && work.step == Step::Evacuating && work.emptyAt == Base::Instant{});
            work.emptyAt = isEmpty ? now : Base::Instant{};
        }
    }
    return isNews;
}

bool MachinePlanner::isOrderDue(const std::string &machine, Base::Instant now) const
{
    const auto it = m_work.find(machine);
    return it != m_work.end() && it->second.step == Step::Ordered
        && now - it->second.orderedAt < OrderPatience && isEmpty(it->second, now);
}

void MachinePlanner::moveAnswered(const MoveMachine &order, OrderResult result, Base::Instant now)
{
    const auto it = m_work.find(order.machine);
    if (it == m_work.end() || it->second.step != Step::Ordered) {
        return;
    }
    if (result == OrderResult::Done || result == OrderResult::Unknown) {
        it->second.step = Step::Down;
        it->second.orderedAt = now;
        it->second.isUnknown = result == OrderResult::Unknown;
    } else {
        m_work.erase(it);
    }
}

void MachinePlanner::upkeepAnswered(const UpkeepMachine &order, OrderResult result, Base::Instant now)
{
    const auto it = m_work.find(order.machine);
    if (it == m_work.end() || it->second.step != Step::Ordered) {
        return;
    }
    if (result == OrderResult::Done) {
        it->second.step = Step::Down;
        it->second.orderedAt = now;
        m_waves[order.wave].begun.insert(order.machine);
        m_commands.emplace_back(RecordUpkeep{order.wave, order.machine});
    } else if (result == OrderResult::Unknown) {
        it->second.step = Step::Down; // counted as down; ordered again when it is back
        it->second.orderedAt = now;
        it->second.isUnknown = true;
    } else {
        m_work.erase(it);
    }
}

std::vector<Command> MachinePlanner::pass(Base::Instant now)
{
    settleWork(now);
    if (!m_machines.empty() && now - m_listedAt < ListLifetime) {
        planWaves(now);
        if (m_settings.movesMachines) {
            planMoves(now);
        }
        advanceWork(now);
    }
    return std::exchange(m_commands, {});
}

bool MachinePlanner::isActive() const
{
    return !m_work.empty() || std::any_of(m_waves.begin(), m_waves.end(), [](const auto &it) {
        return !it.second.isCompletedWritten;
    });
}

std::vector<MachinePlanner::PoolStatus> MachinePlanner::status() const
{
    std::vector<PoolStatus> list;
    for (const auto &[name, pool] : m_pools) {
        PoolStatus status;
        status.pool = name;
        for (const auto &[id, machine] : m_machines) {
            status.up += machine.pool == name && machine.state == MachineState::Up ? 1 : 0;
        }
        for (const auto &[id, work] : m_work) {
            status.arriving += work.to == name ? 1 : 0;
            status.leaving += work.from == name ? 1 : 0;
        }
        status.needed = machinesNeeded(name);
        status.load = load(name);
        list.push_back(status);
    }
    return list;
}

const Machine *MachinePlanner::find(const std::string &id) const
{
    const auto it = m_machines.find(id);
    return it != m_machines.end() ? &it->second : nullptr;
}

bool MachinePlanner::isStandby(const std::string &pool) const
{
    const auto it = m_pools.find(pool);
    return it != m_pools.end() && it->second.isStandby;
}

bool MachinePlanner::isEmpty(const Work &work, Base::Instant now)
{
    return work.worker.empty() || now - work.emptyAt < EmptyLifetime;
}

// Machines that an earlier owner took down count as well, and those that it may just have.
std::size_t MachinePlanner::downInWave(std::uint64_t number, Base::Instant now) const
{
    std::size_t down = 0;
    for (const std::string &id : m_waves.at(number).wave.machines) {
        if (const auto work = m_work.find(id);
            work != m_work.end() && work->second.step != Step::Evacuating) {
            ++down;
            continue;
        }
        const Machine *machine = find(id);
        const auto ordered = m_ordersFrom.find(id);
        const bool mayBeDown = ordered != m_ordersFrom.end() && ordered->second > now;
        down += mayBeDown || (machine && machine->state == MachineState::Upkeep) ? 1 : 0;
    }
    return down;
}

double MachinePlanner::load(const std::string &pool) const
{
    std::int64_t room = 0;
    for (const auto &[id, machine] : m_machines) {
        if (machine.pool == pool && machine.state == MachineState::Up) {
            room += machine.capacity.milliCores;
        }
    }
    const auto it = m_demands.find(pool);
    if (it == m_demands.end() || room == 0) {
        return isStandby(pool) ? 0 : 1;
    }
    return double(it->second.milliCores) / double(room);
}

std::size_t MachinePlanner::machinesFor(const std::string &pool, std::int64_t milliCores) const
{
    std::int64_t here = 0;
    std::int64_t anywhere = 0;
    for (const auto &[id, machine] : m_machines) {
        anywhere = std::max(anywhere, machine.capacity.milliCores);
        here = machine.pool == pool ? std::max(here, machine.capacity.milliCores) : here;
    }
    const std::int64_t size = here > 0 ? here : anywhere;
    return size > 0
        ? static_cast<std::size_t>(std::ceil(double(milliCores) * m_settings.headroom / double(size)))
        : 0;
}

std::size_t MachinePlanner::machinesNeeded(const std::string &pool) const
{
    const auto it = m_demands.find(pool);
    if (it == m_demands.end()) {
        return 0;
    }
    std::int64_t milliCores = it->second.milliCores;
    if (const auto forecast = m_forecasts.find(pool); forecast != m_forecasts.end()) {
        const double arriving = forecast->second.cores(m_settings.foresight) * 1000;
        milliCores = std::max(milliCores, it->second.lastingMilliCores + static_cast<std::int64_t>(arriving));
    }
    return std::max<std::size_t>({machinesFor(pool, milliCores), it->second.leastMachines, 1});
}

// The list shows what became of orders; one that was asked for too early shows the state before.
void MachinePlanner::settleWork(Base::Instant now)
{
    for (auto it = m_work.begin(); it != m_work.end();) {
        Work &work = it->second;
        const Machine *machine = find(work.machine);
        const bool isGone = !machine && m_listedAt > work.since;
        bool isOver = isGone;
        if (work.step == Step::Evacuating) {
            const auto patience = work.wave != 0 ? m_settings.upkeepPatience : m_settings.evacuationPatience;
            const bool isStuck = now - work.since > patience;
            isOver = isOver || isStuck || (machine && machine->worker != work.worker);
            if (isStuck) {
                m_notBefore[work.machine] = now + StuckPause;
            }
        } else if (work.step == Step::Down) {
            const auto time = work.wave != 0 ? m_settings.upkeepTime : m_settings.moveTime;
            const bool isSeen = m_listedAt > work.orderedAt + ListLag;
            const bool isBack = machine && machine->state == MachineState::Up && !machine->worker.empty()
                && machine->worker != work.worker;
            const bool isStored = machine && machine->state == MachineState::Up && isStandby(machine->pool);
            isOver = isOver || (isSeen && (isBack || (isStored && now - work.orderedAt > time)))
                || now - work.orderedAt > time + (work.isUnknown ? LateOrderPatience : OrderPatience);
        }
        it = isOver ? m_work.erase(it) : std::next(it);
    }
}

void MachinePlanner::planWaves(Base::Instant now)
{
    std::map<std::string, double> loads; ///< by pool
    for (const auto &[id, machine] : m_machines) {
        if (loads.count(machine.pool) == 0) {
            loads[machine.pool] = load(machine.pool);
        }
    }
    for (auto &[number, progress] : m_waves) {
        const Wave &wave = progress.wave;
        if (wave.number == 0 || progress.isCompletedWritten) {
            continue;
        }
        if (!std::exchange(progress.isRunningWritten, true)) {
            m_commands.emplace_back(WriteWaveStatus{number, false});
        }
        std::vector<const Machine *> left;
        std::size_t leftToBegin = 0;
        for (const std::string &id : wave.machines) {
            const Machine *machine = find(id);
            if (!machine || progress.begun.count(id) > 0) {
                continue;
            }
            ++leftToBegin;
            const auto pause = m_notBefore.find(id);
            const bool isPaused = pause != m_notBefore.end() && now < pause->second;
            if (m_work.count(id) == 0 && machine->state == MachineState::Up && !isPaused) {
                left.push_back(machine);
            }
        }
        if (leftToBegin == 0) {
            progress.isCompletedWritten = true;
            m_commands.emplace_back(WriteWaveStatus{number, true});
            Base::LogLine(Base::LogLevel::Info, "wave-completed").with("wave", number);
            continue;
        }
        const auto active = static_cast<std::size_t>(std::count_if(
            m_work.begin(), m_work.end(), [n = number](const auto &it) { return it.second.wave == n; }));
        const Base::Duration timeLeft = wave.noticedAt + wave.duration - WaveReserve - now;
        const double rounds = std::max(1.0, double(timeLeft.count()) / double(UpkeepEstimate.count()));
        const auto pace = static_cast<std::size_t>(std::ceil(double(leftToBegin) / rounds));
        std::sort(left.begin(), left.end(), [&loads](const Machine *a, const Machine *b) {
            return std::tie(loads.at(a->pool), a->id) < std::tie(loads.at(b->pool), b->id);
        });
        std::size_t begun = active;
        for (const Machine *it : left) {
            const bool isIdle = isStandby(it->pool) || loads.at(it->pool) < IdleLoad;
            const std::size_t most = wave.mostDown;
            if (begun >= most || (begun >= pace && !isIdle)) {
                break;
            }
            Work work;
            work.machine = it->id;
            work.worker = it->worker;
            work.from = it->pool;
            work.wave = number;
            work.since = now;
            m_work[it->id] = work;
            ++begun;
        }
    }
}

const Machine *MachinePlanner::donorIn(const std::string &pool) const
{
    if (isStandby(pool)) {
        for (const auto &[id, machine] : m_machines) {
            if (machine.pool == pool && machine.state == MachineState::Up && m_work.count(id) == 0) {
                return &machine;
            }
        }
        return nullptr;
    }
    const auto demand = m_demands.find(pool);
    if (demand == m_demands.end()) {
        return nullptr;
    }
    for (const std::string &worker : demand->second.releasable) {
        const auto id = m_byWorker.find(worker);
        const Machine *machine = id != m_byWorker.end() ? find(id->second) : nullptr;
        if (machine && machine->pool == pool && machine->state == MachineState::Up
            && m_work.count(machine->id) == 0) {
            return machine;
        }
    }
    return nullptr;
}

void MachinePlanner::beginMove(const Machine &machine, const std::string &to, Base::Instant now)
{
    Work work;
    work.machine = machine.id;
    work.worker = machine.worker;
    work.from = machine.pool;
    work.to = to;
    work.since = now;
    m_work[machine.id] = work;
}

void MachinePlanner::planMoves(Base::Instant now)
{
    std::map<std::string, std::int64_t> surplus;
    std::string standby;
    for (const auto &[name, pool] : m_pools) {
        if (pool.isStandby) {
            standby = name;
        } else if (const auto at = m_demandAt.find(name);
                   at != m_demandAt.end() && now - at->second < DemandLifetime) {
            surplus[name] = -static_cast<std::int64_t>(machinesNeeded(name));
        }
    }
    for (const auto &[id, machine] : m_machines) {
        const auto work = m_work.find(id);
        // A machine that is due for upkeep is replaced first, so that its long-running tasks have a place to
        // go.
        if (work != m_work.end() && work->second.wave != 0) {
            continue;
        }
        const std::string &pool = work != m_work.end() ? work->second.to : machine.pool;
        if (const auto it = surplus.find(pool); it != surplus.end() && machine.state != MachineState::Down) {
            ++it->second;
        }
    }
    std::vector<std::pair<std::int64_t, std::string>> poor;
    std::vector<std::pair<std::int64_t, std::string>> rich;
    for (const auto &[name, count] : surplus) {
        if (count < 0) {
            poor.emplace_back(count, name);
        } else if (count > 0) {
            rich.emplace_back(-count, name);
        }
    }
    std::sort(poor.begin(), poor.end());
    std::sort(rich.begin(), rich.end());
    for (auto &[missing, name] : poor) {
        while (missing < 0 && !standby.empty()) {
            const Machine *donor = donorIn(standby);
            if (!donor) {
                break;
            }
            beginMove(*donor, name, now);
            ++missing;
        }
        for (auto &[spare, from] : rich) {
            while (missing < 0 && spare < 0) {
                const Machine *donor = donorIn(from);
                if (!donor) {
                    break;
                }
                beginMove(*donor, name, now);
                ++missing;
                ++spare;
            }
        }
    }
    if (standby.empty()) {
        return;
    }
    for (auto &[spare, from] : rich) {
        if (now - m_neededAt[from] < m_settings.idlePatience) {
            continue;
        }
        while (spare < 0) {
            const Machine *donor = donorIn(from);
            if (!donor) {
                break;
            }
            beginMove(*donor, standby, now);
            ++spare;
        }
    }
}

void MachinePlanner::advanceWork(Base::Instant now)
{
    for (auto &[id, work] : m_work) {
        // While an order is under way, nothing may begin on the worker that it ends.
        if (!work.worker.empty() && (work.step != Step::Down || work.isUnknown)) {
            m_commands.emplace_back(EvacuateWorker{work.worker, work.from});
        }
        const auto from = m_ordersFrom.find(id);
        const bool mayOrder = from == m_ordersFrom.end() || from->second <= now;
        if (work.step != Step::Evacuating || !isEmpty(work, now) || !mayOrder) {
            continue;
        }
        if (work.wave == 0) {
            m_commands.emplace_back(MoveMachine{work.machine, work.to});
        } else if (downInWave(work.wave, now) < m_waves[work.wave].wave.mostDown) {
            m_commands.emplace_back(UpkeepMachine{work.machine, work.wave});
        } else {
            continue;
        }
        work.step = Step::Ordered;
        work.orderedAt = now;
    }
}

} // namespace Machines
