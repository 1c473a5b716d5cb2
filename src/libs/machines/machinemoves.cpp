#include "machineplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Machines
{

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

// While machines move, work goes on arriving, and what the cell has can't serve it. A cell that asks only for
// the rate at the end of the moves is short again when they come, by all that waits until then. Tasks that
// wait already show it as well: a new owner has no earlier arrivals to compare with.
double MachinePlanner::coresForSurge(const CellKey &key, const Cell &cell) const
{
    if (cell.demand.arrivedJobs == 0) {
        return 0;
    }
    const auto inSeconds = [](Base::Duration time) {
        return std::chrono::duration<double>(time).count();
    };
    const Base::Duration lead = m_settings.moveTime + m_settings.entryTime;
    double cores = 0;
    for (const auto &[id, entry] : m_machines) {
        if (entry.cell == key.cell && entry.machine.pool == key.pool
            && entry.machine.state == MachineState::Up) {
            cores += double(entry.machine.capacity.milliCores) / 1000;
        }
    }
    cores = std::max(0.0, cores - double(cell.demand.longRunningMilliCores) / 1000);
    const double ready = double(cell.demand.milliCores - cell.demand.longRunningMilliCores) / 1000;
    const auto detected = cell.forecast.surge();
    if (!detected && ready <= cores) {
        return 0;
    }
    const Surge surge = detected.value_or(Surge{cell.forecast.predictedCores({}), 0});
    double served = cores * inSeconds(lead);
    for (const auto &[id, transition] : m_transitions) {
        const MachineEntry *machine = findEntry(id);
        if (!machine || !isArriving(transition, key) || transition.step == Step::Evacuating) {
            continue;
        }
        const Base::Duration elapsed = cell.demandAt - transition.orderedAt;
        served += double(machine->machine.capacity.milliCores) / 1000
            * inSeconds(std::clamp(elapsed, Base::Duration::zero(), lead));
    }
    const double catchUp = inSeconds(m_settings.catchUpTime);
    const double waiting = std::max(0.0, ready - cores) * catchUp;
    const double backlog = std::max(0.0, waiting + surge.workIn(lead) - served);
    return surge.rateIn(lead) + backlog / catchUp;
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

// The backlog of one pool can exceed the fleet. It gets only machines that no pool needs for its rate: shared
// in proportion, it would take them from pools that need few.
std::size_t MachinePlanner::machinesForBacklog(const CellKey &key, const Cell &cell) const
{
    const auto milliCores = static_cast<std::int64_t>(coresForSurge(key, cell) * 1000);
    const std::size_t machines = machinesFor(key.pool, cell.demand.longRunningMilliCores + milliCores);
    return machines - std::min(machines, recentPeakNeed(key, cell));
}

// Late work gets machines that no pool needs for work that can be in time: a late answer is worth more than
// machines on standby.
std::size_t MachinePlanner::machinesForLateWork(const CellKey &key, const Cell &cell) const
{
    return static_cast<std::size_t>(
        std::ceil(double(machinesFor(key.pool, cell.demand.lateMilliCores)) * m_settings.lateShare));
}

MachinePlanner::Donors MachinePlanner::findDonors(Base::Instant now) const
{
    Donors donors;
    const std::set<std::string_view> due = machinesDueForUpkeep(now);
    const auto isFree = [this, &due](const MachineEntry &entry) {
        return entry.machine.state == MachineState::Up && m_transitions.count(entry.machine.id) == 0
            && due.count(entry.machine.id) == 0;
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

std::int64_t MachinePlanner::minimumOf(const CellKey &key, const Cell &cell) const
{
    const std::size_t longRunning = machinesFor(key.pool, cell.demand.longRunningMilliCores);
    return static_cast<std::int64_t>(std::max<std::size_t>({longRunning, cell.demand.minMachines, 1}));
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
            const auto backlog = static_cast<std::int64_t>(machinesForBacklog(key, m_cells.at(key)));
            count += std::min(backlog, unassigned);
            unassigned -= std::min(backlog, unassigned);
        }
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
    const std::map<CellKey, std::int64_t> wanted = targets(now);
    for (const auto &[key, count] : wanted) {
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
    // Cells that lack machines for their long-running tasks come first: while a wave takes their machines,
    // those tasks have no other place.
    std::vector<std::tuple<bool, std::int64_t, CellKey>> shortCells;
    const auto isAboveMinimum = [this, &wanted](const CellKey &key, std::int64_t missing) {
        return wanted.at(key) + missing >= minimumOf(key, m_cells.at(key));
    };
    std::vector<std::pair<std::int64_t, CellKey>> surplusCells;
    for (const auto &[key, count] : surplus) {
        if (count < 0) {
            shortCells.emplace_back(isAboveMinimum(key, count), count, key);
        } else if (count > 0) {
            surplusCells.emplace_back(-count, key);
        }
    }
    std::sort(shortCells.begin(), shortCells.end());
    std::sort(surplusCells.begin(), surplusCells.end());
    Donors donors = findDonors(now);
    for (auto &[isLater, missing, key] : shortCells) {
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

} // namespace Machines
