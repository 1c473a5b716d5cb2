#pragma once

#include "arrivalforecast.h"
#include "machine.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Machines
{

struct PlannerSettings {
    Base::Duration takeoverDelay =
        std::chrono::milliseconds{3000}; ///< no new order for a machine this long after an earlier owner's
    Base::Duration moveTime = std::chrono::milliseconds{1500};
    Base::Duration upkeepTime = std::chrono::milliseconds{2000};
    Base::Duration evacuationTimeout =
        std::chrono::milliseconds{7000}; ///< after which a worker that is not empty yet gets work again
    Base::Duration standbyDelay = std::chrono::milliseconds{
        2500}; ///< for which a cell has had idle machines before they are put on standby
    Base::Duration forecastHorizon = std::chrono::milliseconds{1500}; ///< how far ahead arrivals are forecast
    Base::Duration needWindow =
        std::chrono::milliseconds{1000}; ///< over which the peak of a cell's needs determines its machines
    Base::Duration entryTime = std::chrono::milliseconds{
        500}; ///< between the end of a machine's move and the first task of its worker
    Base::Duration catchUpTime =
        std::chrono::milliseconds{1000}; ///< in which the work that a surge has left waiting is to be done
    double headroom = 1.0; ///< spare machines per square root of the machines in demand
    double lateShare = 1.0; ///< of the machines that late work could use, as far as others leave them
    bool movesMachines = true;
};

/// Decides which machines are moved between pools and when machines undergo the upkeep of a wave. Does no
/// I/O and reads no clock. A pool may be divided into cells. The rack of a machine determines its cell within
/// each pool, so a cell that is short of machines only gets machines of its own racks.
///
/// The demand peaks in one pool after another, each time at several times the mean of that pool. Machines
/// therefore follow the demand, and those that no pool needs are put on standby.
class MachinePlanner
{
public:
    /// Returns the cell that the machine belongs to while it is in the pool.
    using CellOf = std::function<std::size_t(const std::string &pool, const Machine &machine)>;

    /// Without `cellOf`, each pool is a single cell.
    explicit MachinePlanner(const PlannerSettings &settings, CellOf cellOf = {});

    void setPools(std::span<const Pool> pools);
    /// Replaces the list of machines. `requestedAt` is when the list was requested.
    void setMachines(std::span<const Machine> machines, Base::Instant requestedAt);
    /// Returns whether the cell needs more machines than before and than it has or will get, so that a pass
    /// should follow soon.
    bool setDemand(const PoolDemand &demand, Base::Instant now);
    void setWave(const Wave &wave);
    void removeWave(std::uint64_t number);
    /// Restores that the machine's upkeep in the wave began under an earlier owner.
    void restoreUpkeep(std::uint64_t wave, const std::string &machine);
    /// Restores that an earlier owner gave an order for the machine at this time.
    void restoreOrder(const std::string &machine, Base::Instant at);
    /// The process of that owner has ended, so it can give no further orders for the machine.
    void markOrderingOwnerEnded(const std::string &machine);

    /// Handles the report on a worker's evacuation. Returns true if the worker has just become empty, so that
    /// ordersForEmptyMachines() can give its order.
    bool handleEvacuationReport(const std::string &worker, bool isEmpty, Base::Instant now);
    /// Returns whether an order may still be sent once it has been stored: its worker is still empty and the
    /// order has not timed out.
    bool isOrderDue(const std::string &machine, Base::Instant now) const;
    void handleMoveResult(const MoveMachine &order, OrderResult result, Base::Instant now);
    void handleUpkeepResult(const UpkeepMachine &order, OrderResult result, Base::Instant now);

    std::vector<Command> pass(Base::Instant now);
    /// Returns only the orders for machines whose workers have become empty since the last pass.
    std::vector<Command> ordersForEmptyMachines(Base::Instant now);

    struct PoolStatus {
        std::string pool;
        std::size_t up = 0;
        std::size_t arriving = 0; ///< machines that are being moved to it
        std::size_t leaving = 0;
        std::size_t needed = 0;
        double load = 0; ///< demand as a share of the capacity of the machines that are up
        double forecastCores = 0; ///< for the work that will arrive by the time a machine moved now is ready
        std::size_t surgingCells = 0; ///< cells with a surge
    };
    std::vector<PoolStatus> status() const;

    /// Number of surges detected.
    std::uint64_t surgeCount() const;

    /// Returns whether a transition is in progress or a wave is not completed. The list of machines should
    /// then be read more often.
    bool hasPendingWork() const;

private:
    struct CellKey {
        std::string pool;
        std::size_t cell = 0;

        auto operator<=>(const CellKey &) const = default;
    };
    /// The number of machines that a cell needed at a point in time.
    struct NeedSample {
        Base::Instant at;
        std::size_t machines = 0;
    };
    struct Cell {
        PoolDemand demand;
        Base::Instant demandAt; ///< when the demand was reported
        ArrivalForecast forecast;
        Base::Instant fullyNeededAt; ///< when the cell last needed all of its machines
        std::deque<NeedSample> recentNeeds; ///< within PlannerSettings::needWindow
        std::size_t lastNeed =
            0; ///< machines needed according to the last demand, with those for the backlog
        bool isSurging = false; ///< according to the last demand
    };
    struct MachineEntry {
        Machine machine;
        std::size_t cell = 0; ///< within its pool
    };
    /// Machines of each cell that may leave it, the preferred one last.
    using Donors = std::map<CellKey, std::vector<const MachineEntry *>>;

    enum class Step { Evacuating, Ordered, Down };
    /// A move of a machine to another pool or its upkeep in a wave, in progress.
    struct Transition {
        std::string machine;
        std::string worker;
        CellKey from;
        CellKey to; ///< its pool is empty for upkeep
        std::uint64_t wave = 0; ///< 0 for a move
        Step step = Step::Evacuating;
        Base::Instant emptyAt; ///< when its worker was last reported empty
        bool isOutcomeUnknown = false; ///< the order had no answer and may still be carried out
        Base::Instant startedAt;
        Base::Instant orderedAt; ///< when the order was decided; once answered, when it was answered
    };
    struct WaveProgress {
        Wave wave;
        std::set<std::string> startedMachines;
        bool isRunningWritten = false;
        bool isCompletedWritten = false;
    };

    // Older demands are not used for decisions: after an interruption the planner waits for new ones.
    static constexpr Base::Duration MaxDemandAge = std::chrono::milliseconds{1500};

    std::size_t cellOf(const std::string &pool, const Machine &machine) const;
    const Machine *findMachine(const std::string &id) const;
    const MachineEntry *findEntry(const std::string &id) const;
    bool isStandby(const std::string &pool) const;
    static bool isEmpty(const Transition &transition, Base::Instant now);
    std::size_t downInWave(std::uint64_t wave, Base::Instant now) const;
    /// Demand as a share of the capacity of the machines that are up, by pool.
    std::map<std::string, double> loads() const;
    std::size_t machinesNeeded(const CellKey &key, const Cell &cell) const;
    /// Cores for what arrives in a surge and for what waits by the time a machine moved now can help.
    /// Returns 0 if there is no surge and the cell's machines suffice.
    double coresForSurge(const CellKey &key, const Cell &cell) const;
    /// Returns whether the machine is being moved to the cell and not up there yet.
    bool isArriving(const Transition &transition, const CellKey &key) const;
    /// Machines that are up in the cell or being moved to it.
    std::size_t machinesExpected(const CellKey &key) const;
    void logSurge(const CellKey &key, Cell &cell, std::size_t needed);
    /// The highest need within PlannerSettings::needWindow.
    std::size_t recentPeakNeed(const CellKey &key, const Cell &cell) const;
    /// Machines that the cell keeps for its long-running tasks.
    std::int64_t minimumOf(const CellKey &key, const Cell &cell) const;
    /// Additional machines for a surge's backlog, taken from those that no pool needs.
    std::size_t machinesForBacklog(const CellKey &key, const Cell &cell) const;
    /// Additional machines for late work, taken from those that no pool needs.
    std::size_t machinesForLateWork(const CellKey &key, const Cell &cell) const;
    std::size_t machinesFor(const std::string &pool, std::int64_t milliCores) const;
    std::size_t machinesUp(const CellKey &key) const;
    void finishTransitions(Base::Instant now);
    void planWaves(Base::Instant now);
    void planMoves(Base::Instant now);
    void cancelMoves(std::map<CellKey, std::int64_t> &surplus);
    void requestEvacuations();
    void issueOrders(Base::Instant now);
    bool hasCurrentList(Base::Instant now) const;
    void beginMove(const MachineEntry &entry, const CellKey &to, Base::Instant now);
    std::map<CellKey, std::int64_t> targets(Base::Instant now) const;
    Donors findDonors(Base::Instant now) const;
    /// Machines whose upkeep would be late if they were moved first.
    std::set<std::string_view> machinesDueForUpkeep(Base::Instant now) const;
    /// Takes a machine from the donors of `from` that will belong to cell `to` once moved. Returns null if
    /// there is none.
    const MachineEntry *takeDonor(Donors &donors, const CellKey &from, const CellKey &to) const;

    PlannerSettings m_settings;
    CellOf m_cellOf;
    std::map<std::string, Base::Instant> m_noOrderBefore; ///< by machine that an earlier owner ordered
    std::set<std::string> m_releasedMachines; ///< machines whose ordering owner has ended
    std::map<std::string, Pool> m_pools;
    std::map<std::string, MachineEntry> m_machines;
    std::map<std::string, std::int64_t> m_largestByPool; ///< millicores of the largest machine, by pool
    std::int64_t m_largestOverall = 0; ///< millicores of the largest machine of all
    std::map<std::string, std::string> m_machineByWorker; ///< machine IDs by worker ID
    Base::Instant m_listRequestedAt;
    std::map<CellKey, Cell> m_cells;
    std::map<std::uint64_t, WaveProgress> m_waves;
    std::map<std::string, Transition> m_transitions; ///< by machine ID
    std::map<std::string, Base::Instant> m_noEvacuationBefore; ///< by machine ID
    std::vector<Command> m_commands;
    std::uint64_t m_surgeCount = 0;
};

} // namespace Machines
