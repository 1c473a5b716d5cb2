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

MachinePlanner::MachinePlanner(const PlannerSettings &settings, CellOf cellOf)
    : m_settings(settings)
    , m_cellOf(std::move(cellOf))
{
}

std::size_t MachinePlanner::cellOf(const std::string &pool, const Machine &machine) const
{
    return m_cellOf ? m_cellOf(pool, machine) : 0;
}

void MachinePlanner::setPools(std::span<const Pool> pools)
{
    m_pools.clear();
    for (const Pool &it : pools) {
        m_pools[it.name] = it;
    }
    for (auto &[id, known] : m_machines) {
        known.cell = cellOf(known.machine.pool, known.machine);
    }
}

void MachinePlanner::setMachines(std::span<const Machine> machines, Base::Instant askedAt)
{
    m_machines.clear();
    m_byWorker.clear();
    m_sizes.clear();
    m_largest = 0;
    for (const Machine &it : machines) {
        m_machines[it.id] = {it, cellOf(it.pool, it)};
        std::int64_t &size = m_sizes[it.pool];
        size = std::max(size, it.capacity.milliCores);
        m_largest = std::max(m_largest, size);
        if (!it.worker.empty()) {
            m_byWorker[it.worker] = it.id;
        }
    }
    m_listedAt = askedAt;
}

void MachinePlanner::setDemand(const PoolDemand &demand, Base::Instant now)
{
    const CellKey key{demand.pool, demand.cell};
    Cell &cell = m_cells[key];
    if (now - cell.demandAt > DemandLifetime) {
        cell.neededAt = now; // what was needed in between is not known
    }
    cell.demandAt = now;
    cell.demand = demand;
    cell.forecast.note(demand.arrivedWork, now);
    const std::size_t needed = machinesNeeded(key, cell);
    cell.needs.push_back({now, needed});
    while (cell.needs.front().at + m_settings.needMemory < now) {
        cell.needs.pop_front();
    }
    const std::size_t wanted = machinesFor(demand.pool, demand.milliCores + demand.lateMilliCores);
    if (std::max(wanted, needed) >= upIn(key)) {
        cell.neededAt = now;
    }
}

std::size_t MachinePlanner::upIn(const CellKey &key) const
{
    return static_cast<std::size_t>(std::count_if(m_machines.begin(), m_machines.end(), [&](const auto &it) {
        return it.second.cell == key.cell && it.second.machine.pool == key.pool
            && it.second.machine.state == MachineState::Up;
    }));
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

// What it ordered may still be carried out, so a machine that it took down for upkeep goes on counting.
void MachinePlanner::releaseOrder(const std::string &machine)
{
    m_released.insert(machine);
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

bool MachinePlanner::hasList(Base::Instant now) const
{
    return !m_machines.empty() && now - m_listedAt < ListLifetime;
}

std::vector<Command> MachinePlanner::pass(Base::Instant now)
{
    settleWork(now);
    if (hasList(now)) {
        planWaves(now);
        if (m_settings.movesMachines) {
            planMoves(now);
        }
        evacuate();
        order(now);
    }
    return std::exchange(m_commands, {});
}

// Workers become empty many times a second while hundreds of machines move; planning anew each time would
// take the owner's processor.
std::vector<Command> MachinePlanner::orderEmpty(Base::Instant now)
{
    if (hasList(now)) {
        order(now);
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
    const std::map<std::string, double> loads = this->loads();
    std::vector<PoolStatus> list;
    for (const auto &[name, pool] : m_pools) {
        PoolStatus status;
        status.pool = name;
        for (const auto &[id, known] : m_machines) {
            status.up += known.machine.pool == name && known.machine.state == MachineState::Up ? 1 : 0;
        }
        for (const auto &[id, work] : m_work) {
            status.arriving += work.to.pool == name ? 1 : 0;
            status.leaving += work.from.pool == name ? 1 : 0;
        }
        for (auto it = m_cells.lower_bound({name, 0}); it != m_cells.end() && it->first.pool == name; ++it) {
            status.needed += machinesNeeded(it->first, it->second);
        }
        const auto load = loads.find(name);
        status.load = load != loads.end() ? load->second : 0;
        list.push_back(status);
    }
    return list;
}

const Machine *MachinePlanner::find(const std::string &id) const
{
    const Known *found = known(id);
    return found ? &found->machine : nullptr;
}

const MachinePlanner::Known *MachinePlanner::known(const std::string &id) const
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

std::map<std::string, double> MachinePlanner::loads() const
{
    std::map<std::string, std::int64_t> rooms;
    for (const auto &[id, known] : m_machines) {
        std::int64_t &room = rooms[known.machine.pool];
        room += known.machine.state == MachineState::Up ? known.machine.capacity.milliCores : 0;
    }
    std::map<std::string, std::int64_t> demands;
    for (const auto &[key, cell] : m_cells) {
        demands[key.pool] += cell.demand.milliCores;
    }
    std::map<std::string, double> loads;
    for (const auto &[pool, room] : rooms) {
        const auto demand = demands.find(pool);
        const bool isKnown = demand != demands.end() && room > 0;
        loads[pool] = isKnown ? double(demand->second) / double(room) : isStandby(pool) ? 0 : 1;
    }
    return loads;
}

// Demand varies by about the root of its size, so large pools get along with a smaller share to spare
// (square-root staffing: Halfin and Whitt, Operations Research 29, 1981).
std::size_t MachinePlanner::machinesFor(const std::string &pool, std::int64_t milliCores) const
{
    const auto here = m_sizes.find(pool);
    const std::int64_t size = here != m_sizes.end() && here->second > 0 ? here->second : m_largest;
    if (size == 0) {
        return 0;
    }
    const double load = double(milliCores) / double(size);
    return static_cast<std::size_t>(std::ceil(load + m_settings.headroom * std::sqrt(load)));
}

std::size_t MachinePlanner::machinesNeeded(const CellKey &key, const Cell &cell) const
{
    const double arriving = cell.forecast.cores(m_settings.foresight) * 1000;
    const std::int64_t milliCores =
        std::max(cell.demand.milliCores, cell.demand.lastingMilliCores + static_cast<std::int64_t>(arriving));
    // Whole machines beside those with long-running tasks, as many as are asked for, whether they help or
    // not.
    const std::size_t occupied = upIn(key) - std::min(upIn(key), cell.demand.releasable.size());
    const std::size_t whole = cell.demand.wholeMachines;
    return std::max<std::size_t>(
        {machinesFor(key.pool, milliCores), cell.demand.leastMachines, whole > 0 ? occupied + whole : 0, 1});
}

// What jobs ask for varies by half within a second. Machines that are given away for such a moment take
// seconds to come back.
std::size_t MachinePlanner::machinesHeld(const CellKey &key, const Cell &cell) const
{
    std::size_t most = machinesNeeded(key, cell);
    for (const Need &it : cell.needs) {
        most = std::max(most, it.machines);
    }
    return most;
}

// Late work gets machines that no pool needs for work in time: an answer that comes late is worth more than
// the machines that stand by.
std::size_t MachinePlanner::machinesForLate(const CellKey &key, const Cell &cell) const
{
    return static_cast<std::size_t>(
        std::ceil(double(machinesFor(key.pool, cell.demand.lateMilliCores)) * m_settings.lateShare));
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
            const bool isStuck = now - work.since > m_settings.evacuationPatience;
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
    const std::map<std::string, double> loads = this->loads();
    for (auto &[number, progress] : m_waves) {
        const Wave &wave = progress.wave;
        if (wave.number == 0 || progress.isCompletedWritten) {
            continue;
        }
        if (!std::exchange(progress.isRunningWritten, true)) {
            m_commands.emplace_back(WriteWaveStatus{number, false});
        }
        std::vector<const Known *> left;
        std::size_t leftToBegin = 0;
        for (const std::string &id : wave.machines) {
            const Known *machine = known(id);
            if (!machine || progress.begun.count(id) > 0) {
                continue;
            }
            ++leftToBegin;
            const auto pause = m_notBefore.find(id);
            const bool isPaused = pause != m_notBefore.end() && now < pause->second;
            if (m_work.count(id) == 0 && machine->machine.state == MachineState::Up && !isPaused) {
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
        std::sort(left.begin(), left.end(), [&loads](const Known *a, const Known *b) {
            return std::tie(loads.at(a->machine.pool), a->machine.id)
                < std::tie(loads.at(b->machine.pool), b->machine.id);
        });
        std::size_t begun = active;
        for (const Known *it : left) {
            const std::string &pool = it->machine.pool;
            const bool isIdle = isStandby(pool) || loads.at(pool) < IdleLoad;
            const std::size_t most = wave.mostDown;
            if (begun >= most || (begun >= pace && !isIdle)) {
                break;
            }
            Work work;
            work.machine = it->machine.id;
            work.worker = it->machine.worker;
            work.from = {pool, it->cell};
            work.wave = number;
            work.since = now;
            m_work[work.machine] = work;
            ++begun;
        }
    }
}

MachinePlanner::Donors MachinePlanner::findDonors() const
{
    Donors donors;
    const auto isFree = [this](const Known &known) {
        return known.machine.state == MachineState::Up && m_work.count(known.machine.id) == 0;
    };
    for (const auto &[id, known] : m_machines) {
        if (isStandby(known.machine.pool) && isFree(known)) {
            donors[{known.machine.pool, 0}].push_back(&known);
        }
    }
    for (const auto &[key, cell] : m_cells) {
        std::vector<const Known *> &list = donors[key];
        for (const std::string &worker : cell.demand.releasable) {
            const auto id = m_byWorker.find(worker);
            const Known *machine = id != m_byWorker.end() ? known(id->second) : nullptr;
            if (machine && machine->machine.pool == key.pool && isFree(*machine)) {
                list.push_back(machine);
            }
        }
    }
    for (auto &[key, list] : donors) {
        std::reverse(list.begin(), list.end());
    }
    return donors;
}

const MachinePlanner::Known *
MachinePlanner::takeDonor(Donors &donors, const CellKey &from, const CellKey &to) const
{
    std::vector<const Known *> &list = donors[from];
    const bool isAnyCell = isStandby(to.pool);
    const auto it = std::find_if(list.rbegin(), list.rend(), [&](const Known *known) {
        return isAnyCell || cellOf(to.pool, known->machine) == to.cell;
    });
    if (it == list.rend()) {
        return nullptr;
    }
    const Known *donor = *it;
    list.erase(std::next(it).base());
    return donor;
}

void MachinePlanner::beginMove(const Known &known, const CellKey &to, Base::Instant now)
{
    Work work;
    work.machine = known.machine.id;
    work.worker = known.machine.worker;
    work.from = {known.machine.pool, known.cell};
    work.to = to;
    work.since = now;
    m_work[work.machine] = work;
}

// How many machines each cell is to have: what it needs, or its share when all together need more than there
// are. Then each keeps what its long-running tasks need, and the rest is shared by what is missing: the work
// of one machine is worth about the same in each pool.
std::map<MachinePlanner::CellKey, std::int64_t> MachinePlanner::targets(Base::Instant now) const
{
    std::map<CellKey, std::int64_t> wanted;
    std::int64_t least = 0;
    std::int64_t extra = 0;
    const auto leastOf = [this](const CellKey &key, const Cell &cell) {
        const std::size_t lasting = machinesFor(key.pool, cell.demand.lastingMilliCores);
        return static_cast<std::int64_t>(std::max<std::size_t>({lasting, cell.demand.leastMachines, 1}));
    };
    for (const auto &[key, cell] : m_cells) {
        if (m_pools.count(key.pool) == 0 || isStandby(key.pool) || now - cell.demandAt >= DemandLifetime) {
            continue;
        }
        const auto needed = static_cast<std::int64_t>(machinesHeld(key, cell));
        wanted[key] = needed;
        least += leastOf(key, cell);
        extra += std::max<std::int64_t>(0, needed - leastOf(key, cell));
    }
    std::int64_t usable = 0;
    for (const auto &[id, known] : m_machines) {
        const bool isCounted =
            isStandby(known.machine.pool) || wanted.count({known.machine.pool, known.cell}) > 0;
        usable += isCounted && known.machine.state != MachineState::Down ? 1 : 0;
    }
    if (least + extra <= usable || extra == 0) {
        std::int64_t left = usable - least - extra;
        for (auto &[key, count] : wanted) {
            const auto late = static_cast<std::int64_t>(machinesForLate(key, m_cells.at(key)));
            count += std::min(late, left);
            left -= std::min(late, left);
        }
        return wanted;
    }
    const double share = double(std::max<std::int64_t>(0, usable - least)) / double(extra);
    for (auto &[key, count] : wanted) {
        const std::int64_t kept = leastOf(key, m_cells.at(key));
        const auto above = double(std::max<std::int64_t>(0, count - kept));
        count = kept + static_cast<std::int64_t>(above * share);
    }
    return wanted;
}

// A machine whose worker still drains goes on where it is, if its cell has come to need it or the other one
// doesn't need it any more. The newest moves are taken back first.
void MachinePlanner::takeBackMoves(std::map<CellKey, std::int64_t> &surplus)
{
    std::vector<const Work *> draining;
    for (const auto &[id, work] : m_work) {
        if (work.wave == 0 && work.step == Step::Evacuating && !work.worker.empty()) {
            draining.push_back(&work);
        }
    }
    std::sort(
        draining.begin(), draining.end(), [](const Work *a, const Work *b) { return a->since > b->since; });
    for (const Work *it : draining) {
        const auto from = surplus.find(it->from);
        const auto to = surplus.find(it->to);
        if (from == surplus.end()) {
            continue;
        }
        const bool isNeeded = from->second < 0;
        const bool isTooMany = to != surplus.end() && to->second > 0;
        if (!isNeeded && !isTooMany) {
            continue;
        }
        ++from->second;
        if (to != surplus.end()) {
            --to->second;
        }
        m_work.erase(it->machine);
    }
}

void MachinePlanner::planMoves(Base::Instant now)
{
    std::map<CellKey, std::int64_t> surplus;
    CellKey standby;
    for (const auto &[name, pool] : m_pools) {
        if (pool.isStandby) {
            standby = {name, 0};
        }
    }
    for (const auto &[key, count] : targets(now)) {
        surplus[key] = -count;
    }
    for (const auto &[id, known] : m_machines) {
        const auto work = m_work.find(id);
        // A machine that is due for upkeep is replaced first, so that its long-running tasks have a place to
        // go.
        if (work != m_work.end() && work->second.wave != 0) {
            continue;
        }
        const CellKey key = work != m_work.end() ? work->second.to : CellKey{known.machine.pool, known.cell};
        if (const auto it = surplus.find(key);
            it != surplus.end() && known.machine.state != MachineState::Down) {
            ++it->second;
        }
    }
    takeBackMoves(surplus);
    std::vector<std::pair<std::int64_t, CellKey>> poor;
    std::vector<std::pair<std::int64_t, CellKey>> rich;
    for (const auto &[key, count] : surplus) {
        if (count < 0) {
            poor.emplace_back(count, key);
        } else if (count > 0) {
            rich.emplace_back(-count, key);
        }
    }
    std::sort(poor.begin(), poor.end());
    std::sort(rich.begin(), rich.end());
    Donors donors = findDonors();
    for (auto &[missing, key] : poor) {
        while (missing < 0 && !standby.pool.empty()) {
            const Known *donor = takeDonor(donors, standby, key);
            if (!donor) {
                break;
            }
            beginMove(*donor, key, now);
            ++missing;
        }
        for (auto &[spare, from] : rich) {
            while (missing < 0 && spare < 0 && from.pool != key.pool) {
                const Known *donor = takeDonor(donors, from, key);
                if (!donor) {
                    break;
                }
                beginMove(*donor, key, now);
                ++missing;
                ++spare;
            }
        }
    }
    if (standby.pool.empty()) {
        return;
    }
    for (auto &[spare, from] : rich) {
        if (now - m_cells[from].neededAt < m_settings.idlePatience) {
            continue;
        }
        while (spare < 0) {
            const Known *donor = takeDonor(donors, from, standby);
            if (!donor) {
                break;
            }
            beginMove(*donor, standby, now);
            ++spare;
        }
    }
}

// While an order is under way, nothing may begin on the worker that it ends.
void MachinePlanner::evacuate()
{
    for (const auto &[id, work] : m_work) {
        if (!work.worker.empty() && (work.step != Step::Down || work.isUnknown)) {
            m_commands.emplace_back(EvacuateWorker{work.worker, work.from.pool, work.from.cell});
        }
    }
}

void MachinePlanner::order(Base::Instant now)
{
    for (auto &[id, work] : m_work) {
        if (work.step != Step::Evacuating || !isEmpty(work, now)) {
            continue;
        }
        const auto from = m_ordersFrom.find(id);
        if (from != m_ordersFrom.end() && from->second > now && m_released.count(id) == 0) {
            continue;
        }
        if (work.wave == 0) {
            m_commands.emplace_back(MoveMachine{work.machine, work.to.pool});
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
