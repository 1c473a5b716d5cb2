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

// Older lists are not used for decisions: after an interruption the planner waits for a new one.
constexpr Base::Duration MaxListAge = std::chrono::milliseconds{5000};

// The owner of a shard keeps new tasks from a worker for longer than this after reporting it empty.
constexpr Base::Duration MaxEmptyReportAge = std::chrono::milliseconds{600};

// After an evacuation has timed out, waves leave the machine alone for this long.
constexpr Base::Duration EvacuationRetryDelay = std::chrono::milliseconds{2000};

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

bool MachinePlanner::setDemand(const PoolDemand &demand, Base::Instant now)
{
    const CellKey key{demand.pool, demand.cell};
    Cell &cell = m_cells[key];
    if (now - cell.demandAt > MaxDemandAge) {
        cell.fullyNeededAt = now; // the need in the meantime is unknown
    }
    cell.demandAt = now;
    cell.demand = demand;
    cell.forecast.addSample(demand.arrivedWork, now, demand.arrivedJobs);
    const std::size_t needed = machinesNeeded(key, cell);
    const std::size_t withBacklog = needed + machinesForBacklog(key, cell);
    const bool hasRisen = withBacklog > cell.lastNeed;
    cell.lastNeed = withBacklog;
    logSurge(key, cell, withBacklog);
    cell.recentNeeds.push_back({now, needed});
    while (cell.recentNeeds.front().at + m_settings.needWindow < now) {
        cell.recentNeeds.pop_front();
    }
    const std::size_t wanted = machinesFor(demand.pool, demand.milliCores + demand.lateMilliCores);
    if (std::max(wanted, withBacklog) >= machinesUp(key)) {
        cell.fullyNeededAt = now;
    }
    return hasRisen && withBacklog > machinesExpected(key);
}

void MachinePlanner::logSurge(const CellKey &key, Cell &cell, std::size_t needed)
{
    const auto surge = cell.forecast.surge();
    if (surge.has_value() == cell.isSurging) {
        return;
    }
    cell.isSurging = surge.has_value();
    if (surge) {
        ++m_surgeCount;
        Base::LogLine(Base::LogLevel::Info, "surge-detected")
            .with("pool", key.pool)
            .with("cell", key.cell)
            .with("cores", surge->rate)
            .with("cores_per_s", surge->slope)
            .with("needed", needed)
            .with("expected", machinesExpected(key));
    } else {
        Base::LogLine(Base::LogLevel::Info, "surge-settled")
            .with("pool", key.pool)
            .with("cell", key.cell)
            .with("cores", cell.forecast.predictedCores({}))
            .with("needed", needed)
            .with("up", machinesUp(key));
    }
}

std::size_t MachinePlanner::machinesExpected(const CellKey &key) const
{
    return machinesUp(key)
        + static_cast<std::size_t>(
               std::count_if(m_transitions.begin(), m_transitions.end(), [this, &key](const auto &it) {
                   return isArriving(it.second, key);
               }));
}

bool MachinePlanner::isArriving(const Transition &transition, const CellKey &key) const
{
    const Machine *machine = findMachine(transition.machine);
    const bool isThere = machine && machine->pool == key.pool && machine->state == MachineState::Up;
    return transition.to == key && !isThere;
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

void MachinePlanner::restoreUpkeepOrder(const std::string &machine, Base::Instant at)
{
    m_upkeepOrderedAt[machine] = at;
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
            status.forecastCores += it->second.forecast.predictedCores(m_settings.forecastHorizon);
            status.surgingCells += it->second.isSurging ? 1 : 0;
        }
        const auto load = loads.find(name);
        status.load = load != loads.end() ? load->second : 0;
        list.push_back(status);
    }
    return list;
}

std::uint64_t MachinePlanner::surgeCount() const
{
    return m_surgeCount;
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
