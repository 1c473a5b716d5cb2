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
#include <vector>

namespace Machines
{

struct PlannerSettings {
    Base::Duration handOver =
        std::chrono::milliseconds{3000}; ///< after an earlier owner's order for a machine
    Base::Duration moveTime = std::chrono::milliseconds{1500};
    Base::Duration upkeepTime = std::chrono::milliseconds{2000};
    Base::Duration evacuationTimeout =
        std::chrono::milliseconds{7000}; ///< before a worker that doesn't become empty gets work again
    Base::Duration standbyDelay =
        std::chrono::milliseconds{2500}; ///< before idle machines are put on standby
    Base::Duration forecastHorizon =
        std::chrono::milliseconds{1500}; ///< of the demand that machines are moved for
    Base::Duration needWindow =
        std::chrono::milliseconds{1000}; ///< a cell keeps the machines that it needed so long ago
    double headroom = 1.0; ///< machines beyond the demand of a pool, times the root of that demand
    double lateShare = 1.0; ///< of the machines that late work could use, as far as no other pool needs them
    bool movesMachines = true;
};

/// Decides which machines are moved between pools and when waves of upkeep take theirs. Knows no network and
/// no clock. A pool may be divided into cells; the rack decides which cell of a pool a machine belongs to, so
/// a cell that is short of machines gets those that come to it.
///
/// Answers a demand that goes round by turns: each pool in its time asks for several times its mean, so
/// machines follow the demand, and those that no pool needs are put on standby.
class MachinePlanner
{
public:
    /// The cell of the pool that the machine belongs to while it is there.
    using CellOf = std::function<std::size_t(const std::string &pool, const Machine &machine)>;

    /// Without `cellOf` each pool is one cell.
    explicit MachinePlanner(const PlannerSettings &settings, CellOf cellOf = {});

    void setPools(std::span<const Pool> pools);
    /// All machines; `askedAt` is when the list was asked for.
    void setMachines(std::span<const Machine> machines, Base::Instant requestedAt);
    void setDemand(const PoolDemand &demand, Base::Instant now);
    void setWave(const Wave &wave);
    void dropWave(std::uint64_t number);
    /// The upkeep has begun under an earlier owner.
    void loadUpkeep(std::uint64_t wave, const std::string &machine);
    /// An earlier owner gave an order for the machine.
    void loadOrder(const std::string &machine, Base::Instant at);
    /// That owner can't give another one.
    void releaseOrder(const std::string &machine);

    /// Returns true when a pass has something to do with that.
    bool evacuated(const std::string &worker, bool isEmpty, Base::Instant now);
    /// Whether an order that had to be stored first may still be sent: its worker is empty and it isn't old.
    bool isOrderDue(const std::string &machine, Base::Instant now) const;
    void moveAnswered(const MoveMachine &order, OrderResult result, Base::Instant now);
    void upkeepAnswered(const UpkeepMachine &order, OrderResult result, Base::Instant now);

    std::vector<Command> pass(Base::Instant now);
    /// Only the orders for machines that have become empty since the last pass.
    std::vector<Command> orderEmpty(Base::Instant now);

    struct PoolStatus {
        std::string pool;
        std::size_t up = 0;
        std::size_t arriving = 0; ///< machines on their way to it
        std::size_t leaving = 0;
        std::size_t needed = 0;
        double load = 0; ///< demand against the room of the machines that are up
    };
    std::vector<PoolStatus> status() const;

    /// Something is under way or due, so that the list of machines should be read often.
    bool isActive() const;

private:
    struct CellKey {
        std::string pool;
        std::size_t cell = 0;

        auto operator<=>(const CellKey &) const = default;
    };
    /// How many machines a cell needed at a time.
    struct NeedSample {
        Base::Instant at;
        std::size_t machines = 0;
    };
    struct Cell {
        PoolDemand demand;
        Base::Instant demandAt; ///< when the demand was told
        ArrivalForecast forecast;
        Base::Instant fullyNeededAt; ///< when the cell last needed all its machines
        std::deque<NeedSample> recentNeeds; ///< those told within PlannerSettings::needWindow
    };
    struct MachineEntry {
        Machine machine;
        std::size_t cell = 0; ///< of its pool
    };
    /// Machines of a cell that may leave it, the best one last.
    using Donors = std::map<CellKey, std::vector<const MachineEntry *>>;

    enum class Step { Evacuating, Ordered, Down };
    struct Transition {
        std::string machine;
        std::string worker;
        CellKey from;
        CellKey to; ///< without a pool for upkeep
        std::uint64_t wave = 0; ///< 0 for a move
        Step step = Step::Evacuating;
        Base::Instant emptyAt; ///< when its worker was last said to be empty
        bool isOutcomeUnknown = false; ///< whether the order was carried out, or still may be
        Base::Instant startedAt;
        Base::Instant orderedAt; ///< when it was decided, and then when it was answered
    };
    struct WaveProgress {
        Wave wave;
        std::set<std::string> startedMachines;
        bool isRunningWritten = false;
        bool isCompletedWritten = false;
    };

    std::size_t cellOf(const std::string &pool, const Machine &machine) const;
    const Machine *findMachine(const std::string &id) const;
    const MachineEntry *findEntry(const std::string &id) const;
    bool isStandby(const std::string &pool) const;
    static bool isEmpty(const Transition &transition, Base::Instant now);
    std::size_t downInWave(std::uint64_t wave, Base::Instant now) const;
    /// Demand against the room of the machines that are up, by pool.
    std::map<std::string, double> loads() const;
    std::size_t machinesNeeded(const CellKey &key, const Cell &cell) const;
    /// The most that it needed lately.
    std::size_t recentPeakNeed(const CellKey &key, const Cell &cell) const;
    /// For late work, from what stands by.
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
    Donors findDonors() const;
    /// Takes one that belongs to `to` once it is there; null when there is none.
    const MachineEntry *takeDonor(Donors &donors, const CellKey &from, const CellKey &to) const;

    PlannerSettings m_settings;
    CellOf m_cellOf;
    std::map<std::string, Base::Instant>
        m_noOrderBefore; ///< of machines that an earlier owner gave orders for
    std::set<std::string> m_releasedMachines; ///< those of them whose owner has ended
    std::map<std::string, Pool> m_pools;
    std::map<std::string, MachineEntry> m_machines;
    std::map<std::string, std::int64_t> m_largestByPool; ///< cores of a pool's largest machine, thousandths
    std::int64_t m_largestOverall = 0; ///< the same of all machines
    std::map<std::string, std::string> m_machineByWorker; ///< machines by the ID of their worker
    Base::Instant m_listRequestedAt;
    std::map<CellKey, Cell> m_cells;
    std::map<std::uint64_t, WaveProgress> m_waves;
    std::map<std::string, Transition> m_transitions; ///< by machine
    std::map<std::string, Base::Instant> m_noEvacuationBefore; ///< of another evacuation, by machine
    std::vector<Command> m_commands;
};

} // namespace Machines
