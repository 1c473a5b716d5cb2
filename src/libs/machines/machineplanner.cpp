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

// A list that was requested this long after an order shows the effect of the order.
constexpr Base::Duration OrderEffectDelay = std::chrono::milliseconds{300};

// An order that shows no effect this long after its expected duration is given up.
constexpr Base::Duration OrderTimeout = std::chrono::milliseconds{3000};

// The same for an order without an answer: it may still be carried out many seconds later.
constexpr Base::Duration UnknownOrderTimeout = std::chrono::milliseconds{13'000};

// Older lists and demands are not used for decisions: after an interruption the planner waits for new ones.
constexpr Base::Duration MaxListAge = std::chrono::milliseconds{5000};
constexpr Base::Duration MaxDemandAge = std::chrono::milliseconds{1500};

// The owner of a shard keeps new tasks from a worker for longer than this after reporting it empty.
constexpr Base::Duration MaxEmptyReportAge = std::chrono::milliseconds{600};

// After an evacuation has timed out, waves leave the machine alone for this long.
constexpr Base::Duration EvacuationRetryDelay = std::chrono::milliseconds{2000};

// Waves are planned to complete this long before their time is over.
constexpr Base::Duration WaveReserve = std::chrono::milliseconds{4000};

// Expected duration of one machine's evacuation and upkeep; determines how many run concurrently in a wave.
constexpr Base::Duration UpkeepEstimate = std::chrono::milliseconds{5000};

// A pool with a load below this share of its capacity gives machines to upkeep earlier than the wave
// requires.
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
    for (auto &[id, entry] : m_machines) {
        entry.cell = cellOf(entry.machine.pool, entry.machine);
    }
}

void MachinePlanner::setMachines(std::span<const Machine> machines, Base::Instant requestedAt)
{
    m_machines.clear();
    m_machineByWorker.clear();
    m_largestByPool.clear();
    m_largestOverall = 0;
    for (const Machine &it : machines) {
        m_machines[it.id] = {it, cellOf(it.pool, it)};
        std::int64_t &size = m_largestByPool[it.pool];
        size = std::max(size, it.capacity.milliCores);
        m_largestOverall = std::max(m_largestOverall, size);
        if (!it.worker.empty()) {
            m_machineByWorker[it.worker] = it.id;
        }
    }
    m_listRequestedAt = requestedAt;
}

void MachinePlanner::setDemand(const PoolDemand &demand, Base::Instant now)
{
    const CellKey key{demand.pool, demand.cell};
    Cell &cell = m_cells[key];
    if (now - cell.demandAt > MaxDemandAge) {
        cell.fullyNeededAt = now; // the need in the meantime is unknown
    }
    cell.demandAt = now;
    cell.demand = demand;
    cell.forecast.addSample(demand.arrivedWork, now);
    const std::size_t needed = machinesNeeded(key, cell);
    cell.recentNeeds.push_back({now, needed});
    while (cell.recentNeeds.front().at + m_settings.needWindow < now) {
        cell.recentNeeds.pop_front();
    }
    const std::size_t wanted = machinesFor(demand.pool, demand.milliCores + demand.lateMilliCores);
    if (std::max(wanted, needed) >= machinesUp(key)) {
        cell.fullyNeededAt = now;
    }
}

std::size_t MachinePlanner::machinesUp(const CellKey &key) const
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

void MachinePlanner::removeWave(std::uint64_t number)
{
    m_waves.erase(number);
}

void MachinePlanner::restoreUpkeep(std::uint64_t wave, const std::string &machine)
{
    m_waves[wave].startedMachines.insert(machine);
}

void MachinePlanner::restoreOrder(const std::string &machine, Base::Instant at)
{
    m_noOrderBefore[machine] = at + m_settings.takeoverDelay;
}

// Only allows new orders. An order of the ended owner may still be carried out, so in its wave the machine
// still counts as down; see downInWave().
void MachinePlanner::markOrderingOwnerEnded(const std::string &machine)
{
    m_releasedMachines.insert(machine);
}

bool MachinePlanner::handleEvacuationReport(const std::string &worker, bool isEmpty, Base::Instant now)
{
    bool isNewlyEmpty = false;
    for (auto &[id, transition] : m_transitions) {
        if (transition.worker == worker && transition.step != Step::Down) {
            isNewlyEmpty = isNewlyEmpty
                || (isEmpty && transition.step == Step::Evacuating && transition.emptyAt == Base::Instant{});
            transition.emptyAt = isEmpty ? now : Base::Instant{};
        }
    }
    return isNewlyEmpty;
}

bool MachinePlanner::isOrderDue(const std::string &machine, Base::Instant now) const
{
    const auto it = m_transitions.find(machine);
    return it != m_transitions.end() && it->second.step == Step::Ordered
        && now - it->second.orderedAt < OrderTimeout && isEmpty(it->second, now);
}

void MachinePlanner::handleMoveResult(const MoveMachine &order, OrderResult result, Base::Instant now)
{
    const auto it = m_transitions.find(order.machine);
    if (it == m_transitions.end() || it->second.step != Step::Ordered) {
        return;
    }
    if (result == OrderResult::Done || result == OrderResult::Unknown) {
        it->second.step = Step::Down;
        it->second.orderedAt = now;
        it->second.isOutcomeUnknown = result == OrderResult::Unknown;
    } else {
        m_transitions.erase(it);
    }
}

void MachinePlanner::handleUpkeepResult(const UpkeepMachine &order, OrderResult result, Base::Instant now)
{
    const auto it = m_transitions.find(order.machine);
    if (it == m_transitions.end() || it->second.step != Step::Ordered) {
        return;
    }
    if (result == OrderResult::Done) {
        it->second.step = Step::Down;
        it->second.orderedAt = now;
        m_waves[order.wave].startedMachines.insert(order.machine);
        m_commands.emplace_back(RecordUpkeep{order.wave, order.machine});
    } else if (result == OrderResult::Unknown) {
        it->second.step = Step::Down; // counts as down; ordered again once the machine is back
        it->second.orderedAt = now;
        it->second.isOutcomeUnknown = true;
    } else {
        m_transitions.erase(it);
    }
}

bool MachinePlanner::hasCurrentList(Base::Instant now) const
{
    return !m_machines.empty() && now - m_listRequestedAt < MaxListAge;
}

std::vector<Command> MachinePlanner::pass(Base::Instant now)
{
    finishTransitions(now);
    if (hasCurrentList(now)) {
        planWaves(now);
        if (m_settings.movesMachines) {
            planMoves(now);
        }
        requestEvacuations();
        issueOrders(now);
    }
    return std::exchange(m_commands, {});
}

// While hundreds of machines move, workers become empty many times a second. A full pass for each of them
// would saturate the owner's processor.
std::vector<Command> MachinePlanner::ordersForEmptyMachines(Base::Instant now)
{
    if (hasCurrentList(now)) {
        issueOrders(now);
    }
    return std::exchange(m_commands, {});
}

bool MachinePlanner::hasPendingWork() const
{
    return !m_transitions.empty() || std::any_of(m_waves.begin(), m_waves.end(), [](const auto &it) {
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
        for (const auto &[id, entry] : m_machines) {
            status.up += entry.machine.pool == name && entry.machine.state == MachineState::Up ? 1 : 0;
        }
        for (const auto &[id, transition] : m_transitions) {
            status.arriving += transition.to.pool == name ? 1 : 0;
            status.leaving += transition.from.pool == name ? 1 : 0;
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

const Machine *MachinePlanner::findMachine(const std::string &id) const
{
    const MachineEntry *found = findEntry(id);
    return found ? &found->machine : nullptr;
}

const MachinePlanner::MachineEntry *MachinePlanner::findEntry(const std::string &id) const
{
    const auto it = m_machines.find(id);
    return it != m_machines.end() ? &it->second : nullptr;
}

bool MachinePlanner::isStandby(const std::string &pool) const
{
    const auto it = m_pools.find(pool);
    return it != m_pools.end() && it->second.isStandby;
}

bool MachinePlanner::isEmpty(const Transition &transition, Base::Instant now)
{
    return transition.worker.empty() || now - transition.emptyAt < MaxEmptyReportAge;
}

// Includes machines that an earlier owner took down or may have taken down just now.
std::size_t MachinePlanner::downInWave(std::uint64_t number, Base::Instant now) const
{
    std::size_t down = 0;
    for (const std::string &id : m_waves.at(number).wave.machines) {
        if (const auto transition = m_transitions.find(id);
            transition != m_transitions.end() && transition->second.step != Step::Evacuating) {
            ++down;
            continue;
        }
        const Machine *machine = findMachine(id);
        const auto ordered = m_noOrderBefore.find(id);
        const bool mayBeDown = ordered != m_noOrderBefore.end() && ordered->second > now;
        down += mayBeDown || (machine && machine->state == MachineState::Upkeep) ? 1 : 0;
    }
    return down;
}

std::map<std::string, double> MachinePlanner::loads() const
{
    std::map<std::string, std::int64_t> capacities;
    for (const auto &[id, entry] : m_machines) {
        std::int64_t &poolCapacity = capacities[entry.machine.pool];
        poolCapacity += entry.machine.state == MachineState::Up ? entry.machine.capacity.milliCores : 0;
    }
    std::map<std::string, std::int64_t> demands;
    for (const auto &[key, cell] : m_cells) {
        demands[key.pool] += cell.demand.milliCores;
    }
    std::map<std::string, double> loads;
    for (const auto &[pool, poolCapacity] : capacities) {
        const auto demand = demands.find(pool);
        const bool isKnown = demand != demands.end() && poolCapacity > 0;
        loads[pool] = isKnown ? double(demand->second) / double(poolCapacity) : isStandby(pool) ? 0 : 1;
    }
    return loads;
}

// Demand fluctuates by about the square root of its size, so large pools need a smaller share of spare
// machines (square-root staffing: Halfin and Whitt, Operations Research 29, 1981).
std::size_t MachinePlanner::machinesFor(const std::string &pool, std::int64_t milliCores) const
{
    const auto poolSize = m_largestByPool.find(pool);
    const std::int64_t size =
        poolSize != m_largestByPool.end() && poolSize->second > 0 ? poolSize->second : m_largestOverall;
    if (size == 0) {
        return 0;
    }
    const double load = double(milliCores) / double(size);
    return static_cast<std::size_t>(std::ceil(load + m_settings.headroom * std::sqrt(load)));
}

std::size_t MachinePlanner::machinesNeeded(const CellKey &key, const Cell &cell) const
{
    const double arriving = cell.forecast.predictedCores(m_settings.forecastHorizon) * 1000;
    const std::int64_t milliCores = std::max(
        cell.demand.milliCores, cell.demand.longRunningMilliCores + static_cast<std::int64_t>(arriving));
    // Empty machines are added to those with long-running tasks. Their number is what the demand asks for,
    // also if the waiting tasks turn out not to fit on them.
    const std::size_t occupied =
        machinesUp(key) - std::min(machinesUp(key), cell.demand.releasableWorkers.size());
    const std::size_t emptyNeeded = cell.demand.emptyMachines;
    return std::max<std::size_t>({machinesFor(key.pool, milliCores),
                                  cell.demand.minMachines,
                                  emptyNeeded > 0 ? occupied + emptyNeeded : 0,
                                  1});
}

// The demand of jobs varies by half within a second, while a machine that has been given away takes seconds
// to come back.
std::size_t MachinePlanner::recentPeakNeed(const CellKey &key, const Cell &cell) const
{
    std::size_t peak = machinesNeeded(key, cell);
    for (const NeedSample &it : cell.recentNeeds) {
        peak = std::max(peak, it.machines);
    }
    return peak;
}

// Late work gets machines that no pool needs for work that can be in time: a late answer is worth more than
// machines on standby.
std::size_t MachinePlanner::machinesForLateWork(const CellKey &key, const Cell &cell) const
{
    return static_cast<std::size_t>(
        std::ceil(double(machinesFor(key.pool, cell.demand.lateMilliCores)) * m_settings.lateShare));
}

// The list of machines shows the outcome of orders. A list requested too early still shows the previous
// state.
void MachinePlanner::finishTransitions(Base::Instant now)
{
    for (auto it = m_transitions.begin(); it != m_transitions.end();) {
        Transition &transition = it->second;
        const Machine *machine = findMachine(transition.machine);
        const bool isGone = !machine && m_listRequestedAt > transition.startedAt;
        bool isFinished = isGone;
        if (transition.step == Step::Evacuating) {
            const bool isTimedOut = now - transition.startedAt > m_settings.evacuationTimeout;
            isFinished = isFinished || isTimedOut || (machine && machine->worker != transition.worker);
            if (isTimedOut) {
                m_noEvacuationBefore[transition.machine] = now + EvacuationRetryDelay;
            }
        } else if (transition.step == Step::Down) {
            const auto time = transition.wave != 0 ? m_settings.upkeepTime : m_settings.moveTime;
            const bool isListCurrent = m_listRequestedAt > transition.orderedAt + OrderEffectDelay;
            const bool isBack = machine && machine->state == MachineState::Up && !machine->worker.empty()
                && machine->worker != transition.worker;
            const bool isOnStandby =
                machine && machine->state == MachineState::Up && isStandby(machine->pool);
            isFinished = isFinished
                || (isListCurrent && (isBack || (isOnStandby && now - transition.orderedAt > time)))
                || now - transition.orderedAt
                    > time + (transition.isOutcomeUnknown ? UnknownOrderTimeout : OrderTimeout);
        }
        it = isFinished ? m_transitions.erase(it) : std::next(it);
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
        std::vector<const MachineEntry *> candidates;
        std::size_t remaining = 0;
        for (const std::string &id : wave.machines) {
            const MachineEntry *machine = findEntry(id);
            if (!machine || progress.startedMachines.count(id) > 0) {
                continue;
            }
            ++remaining;
            const auto retryAt = m_noEvacuationBefore.find(id);
            const bool isRetryPending = retryAt != m_noEvacuationBefore.end() && now < retryAt->second;
            if (m_transitions.count(id) == 0 && machine->machine.state == MachineState::Up
                && !isRetryPending) {
                candidates.push_back(machine);
            }
        }
        if (remaining == 0) {
            progress.isCompletedWritten = true;
            m_commands.emplace_back(WriteWaveStatus{number, true});
            Base::LogLine(Base::LogLevel::Info, "wave-completed").with("wave", number);
            continue;
        }
        const auto active = static_cast<std::size_t>(
            std::count_if(m_transitions.begin(), m_transitions.end(), [n = number](const auto &it) {
                return it.second.wave == n;
            }));
        const Base::Duration timeLeft = wave.announcedAt + wave.duration - WaveReserve - now;
        const double rounds = std::max(1.0, double(timeLeft.count()) / double(UpkeepEstimate.count()));
        const auto requiredConcurrency = static_cast<std::size_t>(std::ceil(double(remaining) / rounds));
        std::sort(
            candidates.begin(), candidates.end(), [&loads](const MachineEntry *a, const MachineEntry *b) {
                return std::tie(loads.at(a->machine.pool), a->machine.id)
                    < std::tie(loads.at(b->machine.pool), b->machine.id);
            });
        std::size_t inProgress = active;
        for (const MachineEntry *it : candidates) {
            const std::string &pool = it->machine.pool;
            const bool isIdle = isStandby(pool) || loads.at(pool) < IdleLoad;
            const std::size_t maxDown = wave.maxDown;
            if (inProgress >= maxDown || (inProgress >= requiredConcurrency && !isIdle)) {
                break;
            }
            Transition transition;
            transition.machine = it->machine.id;
            transition.worker = it->machine.worker;
            transition.from = {pool, it->cell};
            transition.wave = number;
            transition.startedAt = now;
            m_transitions[transition.machine] = transition;
            ++inProgress;
        }
    }
}

MachinePlanner::Donors MachinePlanner::findDonors() const
{
    Donors donors;
    const auto isFree = [this](const MachineEntry &entry) {
        return entry.machine.state == MachineState::Up && m_transitions.count(entry.machine.id) == 0;
    };
    for (const auto &[id, entry] : m_machines) {
        if (isStandby(entry.machine.pool) && isFree(entry)) {
            donors[{entry.machine.pool, 0}].push_back(&entry);
        }
    }
    for (const auto &[key, cell] : m_cells) {
        std::vector<const MachineEntry *> &list = donors[key];
        for (const std::string &worker : cell.demand.releasableWorkers) {
            const auto id = m_machineByWorker.find(worker);
            const MachineEntry *machine = id != m_machineByWorker.end() ? findEntry(id->second) : nullptr;
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

const MachinePlanner::MachineEntry *
MachinePlanner::takeDonor(Donors &donors, const CellKey &from, const CellKey &to) const
{
    std::vector<const MachineEntry *> &list = donors[from];
    const bool isAnyCell = isStandby(to.pool);
    const auto it = std::find_if(list.rbegin(), list.rend(), [&](const MachineEntry *entry) {
        return isAnyCell || cellOf(to.pool, entry->machine) == to.cell;
    });
    if (it == list.rend()) {
        return nullptr;
    }
    const MachineEntry *donor = *it;
    list.erase(std::next(it).base());
    return donor;
}

void MachinePlanner::beginMove(const MachineEntry &entry, const CellKey &to, Base::Instant now)
{
    Transition transition;
    transition.machine = entry.machine.id;
    transition.worker = entry.machine.worker;
    transition.from = {entry.machine.pool, entry.cell};
    transition.to = to;
    transition.startedAt = now;
    m_transitions[transition.machine] = transition;
}

// Returns how many machines each cell should have. Each gets what it needs, and machines left over go to late
// work. If all cells together need more than there are, each keeps what its long-running tasks need, and the
// rest is shared in proportion to the unmet need: the work of one machine is worth about the same in each
// pool.
std::map<MachinePlanner::CellKey, std::int64_t> MachinePlanner::targets(Base::Instant now) const
{
    std::map<CellKey, std::int64_t> wanted;
    std::int64_t minimum = 0;
    std::int64_t extra = 0;
    const auto minimumOf = [this](const CellKey &key, const Cell &cell) {
        const std::size_t longRunning = machinesFor(key.pool, cell.demand.longRunningMilliCores);
        return static_cast<std::int64_t>(std::max<std::size_t>({longRunning, cell.demand.minMachines, 1}));
    };
    for (const auto &[key, cell] : m_cells) {
        if (m_pools.count(key.pool) == 0 || isStandby(key.pool) || now - cell.demandAt >= MaxDemandAge) {
            continue;
        }
        const auto needed = static_cast<std::int64_t>(recentPeakNeed(key, cell));
        wanted[key] = needed;
        minimum += minimumOf(key, cell);
        extra += std::max<std::int64_t>(0, needed - minimumOf(key, cell));
    }
    std::int64_t usable = 0;
    for (const auto &[id, entry] : m_machines) {
        const bool isCounted =
            isStandby(entry.machine.pool) || wanted.count({entry.machine.pool, entry.cell}) > 0;
        usable += isCounted && entry.machine.state != MachineState::Down ? 1 : 0;
    }
    if (minimum + extra <= usable || extra == 0) {
        std::int64_t unassigned = usable - minimum - extra;
        for (auto &[key, count] : wanted) {
            const auto late = static_cast<std::int64_t>(machinesForLateWork(key, m_cells.at(key)));
            count += std::min(late, unassigned);
            unassigned -= std::min(late, unassigned);
        }
        return wanted;
    }
    const double share = double(std::max<std::int64_t>(0, usable - minimum)) / double(extra);
    for (auto &[key, count] : wanted) {
        const std::int64_t kept = minimumOf(key, m_cells.at(key));
        const auto aboveMinimum = double(std::max<std::int64_t>(0, count - kept));
        count = kept + static_cast<std::int64_t>(aboveMinimum * share);
    }
    return wanted;
}

// Cancels the move of a machine whose worker still drains if its cell needs it again or the destination no
// longer does. The newest moves are cancelled first.
void MachinePlanner::cancelMoves(std::map<CellKey, std::int64_t> &surplus)
{
    std::vector<const Transition *> draining;
    for (const auto &[id, transition] : m_transitions) {
        if (transition.wave == 0 && transition.step == Step::Evacuating && !transition.worker.empty()) {
            draining.push_back(&transition);
        }
    }
    std::sort(draining.begin(), draining.end(), [](const Transition *a, const Transition *b) {
        return a->startedAt > b->startedAt;
    });
    for (const Transition *it : draining) {
        const auto from = surplus.find(it->from);
        const auto to = surplus.find(it->to);
        if (from == surplus.end()) {
            continue;
        }
        const bool isNeeded = from->second < 0;
        const bool isUnneededThere = to != surplus.end() && to->second > 0;
        if (!isNeeded && !isUnneededThere) {
            continue;
        }
        ++from->second;
        if (to != surplus.end()) {
            --to->second;
        }
        m_transitions.erase(it->machine);
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
    for (const auto &[id, entry] : m_machines) {
        const auto transition = m_transitions.find(id);
        // A machine that is due for upkeep is not counted, so that a replacement is moved in first and its
        // long-running tasks have a place to go.
        if (transition != m_transitions.end() && transition->second.wave != 0) {
            continue;
        }
        const CellKey key = transition != m_transitions.end() ? transition->second.to
                                                              : CellKey{entry.machine.pool, entry.cell};
        if (const auto it = surplus.find(key);
            it != surplus.end() && entry.machine.state != MachineState::Down) {
            ++it->second;
        }
    }
    cancelMoves(surplus);
    std::vector<std::pair<std::int64_t, CellKey>> shortCells;
    std::vector<std::pair<std::int64_t, CellKey>> surplusCells;
    for (const auto &[key, count] : surplus) {
        if (count < 0) {
            shortCells.emplace_back(count, key);
        } else if (count > 0) {
            surplusCells.emplace_back(-count, key);
        }
    }
    std::sort(shortCells.begin(), shortCells.end());
    std::sort(surplusCells.begin(), surplusCells.end());
    Donors donors = findDonors();
    for (auto &[missing, key] : shortCells) {
        while (missing < 0 && !standby.pool.empty()) {
            const MachineEntry *donor = takeDonor(donors, standby, key);
            if (!donor) {
                break;
            }
            beginMove(*donor, key, now);
            ++missing;
        }
        for (auto &[spare, from] : surplusCells) {
            while (missing < 0 && spare < 0 && from.pool != key.pool) {
                const MachineEntry *donor = takeDonor(donors, from, key);
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
    for (auto &[spare, from] : surplusCells) {
        if (now - m_cells[from].fullyNeededAt < m_settings.standbyDelay) {
            continue;
        }
        while (spare < 0) {
            const MachineEntry *donor = takeDonor(donors, from, standby);
            if (!donor) {
                break;
            }
            beginMove(*donor, standby, now);
            ++spare;
        }
    }
}

// No task may start on a worker while an order that ends it is outstanding.
void MachinePlanner::requestEvacuations()
{
    for (const auto &[id, transition] : m_transitions) {
        if (!transition.worker.empty() && (transition.step != Step::Down || transition.isOutcomeUnknown)) {
            m_commands.emplace_back(
                EvacuateWorker{transition.worker, transition.from.pool, transition.from.cell});
        }
    }
}

void MachinePlanner::issueOrders(Base::Instant now)
{
    for (auto &[id, transition] : m_transitions) {
        if (transition.step != Step::Evacuating || !isEmpty(transition, now)) {
            continue;
        }
        const auto from = m_noOrderBefore.find(id);
        if (from != m_noOrderBefore.end() && from->second > now && m_releasedMachines.count(id) == 0) {
            continue;
        }
        if (transition.wave == 0) {
            m_commands.emplace_back(MoveMachine{transition.machine, transition.to.pool});
        } else if (downInWave(transition.wave, now) < m_waves[transition.wave].wave.maxDown) {
            m_commands.emplace_back(UpkeepMachine{transition.machine, transition.wave});
        } else {
            continue;
        }
        transition.step = Step::Ordered;
        transition.orderedAt = now;
    }
}

} // namespace Machines
