#pragma once

#include "peerprotocol.h"
#include "ports.h"
#include "recordfollower.h"
#include "servicelayout.h"

#include <base/logline.h>
#include <base/oneshottimer.h>
#include <ini/values.h>
#include <machines/machineplanner.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace JobService
{

struct MachineControllerSettings {
    Machines::PlannerSettings planner;
    Base::Duration period = std::chrono::milliseconds{250}; ///< between two passes of the planner
    Base::Duration listInterval = std::chrono::milliseconds{600}; ///< of machines, while work is in progress
    Base::Duration idleListInterval = std::chrono::milliseconds{2500}; ///< of machines, otherwise
    Base::Duration statusInterval =
        std::chrono::milliseconds{1000}; ///< between two status log lines per pool
    Base::Duration requestTimeout =
        std::chrono::milliseconds{600}; ///< timeout of requests to the owners of shards
};

/// Moves machines between pools and has them maintained, while this member owns the shard for machines.
template<typename Platform>
class MachineController
{
public:
    using Reply = std::function<void(JobReply)>;
    using Route = std::function<void(JobRequest, Base::Duration limit, Reply)>;
    using CurrentEpoch = std::function<std::optional<Jobs::Epoch>()>;
    using WallClock = std::function<Jobs::WallTime()>;
    /// Returns whether a member's process is known to have ended.
    using HasEnded = std::function<bool(const std::string &member)>;
    /// Called with each list of all machines that is received.
    using MachinesListed = std::function<void(std::span<const Machines::Machine>)>;

    MachineController(Platform &platform,
                      Base::TimerService &timers,
                      const MachineControllerSettings &settings,
                      const ServiceLayout &layout,
                      WallClock wallClock,
                      CurrentEpoch currentEpoch,
                      Route route,
                      MachinesListed machinesListed,
                      HasEnded hasEnded,
                      std::string member)
        : m_platform(platform)
        , m_timers(timers)
        , m_settings(settings)
        , m_layout(layout)
        , m_wallClock(std::move(wallClock))
        , m_currentEpoch(std::move(currentEpoch))
        , m_route(std::move(route))
        , m_onMachinesListed(std::move(machinesListed))
        , m_hasEnded(std::move(hasEnded))
        , m_member(std::move(member))
        , m_timer(timers)
        , m_emptyWorkerTimer(timers)
        , m_earlyPassTimer(timers)
    {
    }

    void start()
    {
        update();
    }

    /// To be called when this member may have become the owner of the shard for machines.
    void ownershipChanged()
    {
        if (m_currentEpoch() != m_epoch) {
            update();
        }
    }

    void setPools(std::vector<Machines::Pool> pools)
    {
        m_pools = std::move(pools);
        layoutChanged();
    }

    void layoutChanged()
    {
        for (Machines::Pool &it : m_pools) {
            it.cells = std::max<std::size_t>(1, m_layout.cellsOf(it.name).size());
        }
        if (m_planner) {
            m_planner->setPools(m_pools);
        }
    }

    void setWave(const Machines::Wave &wave)
    {
        m_waves[wave.number] = wave;
        if (m_planner) {
            m_planner->setWave(wave);
        }
    }

    void removeWave(std::uint64_t number)
    {
        m_waves.erase(number);
        if (m_planner) {
            m_planner->removeWave(number);
        }
    }

    /// Number of surges detected since this member last became the owner.
    std::uint64_t surgeCount() const
    {
        return m_planner ? m_planner->surgeCount() : 0;
    }

private:
    void update()
    {
        const auto epoch = m_currentEpoch();
        if (epoch && epoch != m_epoch) {
            m_epoch = epoch;
            m_planner.reset();
            m_earlierOrders.clear();
            m_earlierUpkeepOrders.clear();
            m_recordsInFlight.clear();
            m_queuedRecords.clear();
            takeOver();
        }
        // No orders are given without a valid membership. If the epoch is still the same afterwards, the
        // planner goes on with its state.
        if (m_planner && epoch) {
            readMachines();
            readDemand();
            runPlanner();
            logStatus();
        }
        m_timer.arm(m_settings.period, [this] { update(); });
    }

    void orderForEmptyMachines()
    {
        if (m_planner) {
            executeAll(m_planner->ordersForEmptyMachines(m_timers.now()));
        }
    }

    // The value is the wall time of the order in ms, followed by a space and the name of its owner.
    void addEarlierOrder(std::string machine, std::string_view value)
    {
        const auto blank = value.find(' ');
        const auto at = Ini::toInteger(value.substr(0, blank));
        if (!at) {
            Base::LogLine(Base::LogLevel::Error, "record-unreadable").with("machine", machine);
            return;
        }
        const std::string_view member =
            blank != std::string_view::npos ? value.substr(blank + 1) : std::string_view();
        m_earlierOrders.push_back(
            {std::move(machine), Jobs::WallTime(Jobs::Milliseconds(*at)), std::string(member)});
    }

    // The value is the wall time of the order in ms.
    void addEarlierUpkeepOrder(std::string machine, std::string_view value)
    {
        if (const auto at = Ini::toInteger(value)) {
            m_earlierUpkeepOrders[std::move(machine)] = Jobs::WallTime(Jobs::Milliseconds(*at));
        } else {
            Base::LogLine(Base::LogLevel::Error, "record-unreadable").with("machine", machine);
        }
    }

    Base::Instant instantOf(Jobs::WallTime at) const
    {
        return m_timers.now() - (m_wallClock() - at) + MaxClockDifference;
    }

    // An owner whose process has ended can't give further orders, so its machines needn't wait for one.
    void releaseOrdersOfEndedOwners()
    {
        std::erase_if(m_earlierOrders, [this](const EarlierOrder &it) {
            const bool hasEnded = m_hasEnded(it.member);
            if (hasEnded) {
                m_planner->markOrderingOwnerEnded(it.machine);
            }
            return hasEnded;
        });
    }

    void runPlanner()
    {
        releaseOrdersOfEndedOwners();
        executeAll(m_planner->pass(m_timers.now()));
        sendEvacuations();
    }

    void executeAll(std::vector<Machines::Command> commands)
    {
        for (Machines::Command &it : commands) {
            std::visit([this](auto &order) { this->execute(order); }, it);
        }
    }

    void logStatus()
    {
        if (m_timers.now() < m_nextStatusAt) {
            return;
        }
        m_nextStatusAt = m_timers.now() + m_settings.statusInterval;
        for (const auto &it : m_planner->status()) {
            Base::LogLine(Base::LogLevel::Info, "pool")
                .with("pool", it.pool)
                .with("up", it.up)
                .with("arriving", it.arriving)
                .with("leaving", it.leaving)
                .with("needed", it.needed)
                .with("load", it.load)
                .with("forecast_cores", it.forecastCores)
                .with("surging_cells", it.surgingCells);
        }
    }

    // Loads the orders and the maintenance that earlier owners have begun before the planner runs.
    void takeOver()
    {
        const auto epoch = *m_epoch;
        m_sequence = 1;
        m_platform.loadMachines(
            epoch,
            [this, epoch](std::string_view key, std::string_view value, bool) {
                if (epoch != m_epoch) {
                    return;
                }
                const auto slash = key.find('/');
                if (key.substr(0, slash + 1) == OrderPrefix) {
                    addEarlierOrder(std::string(key.substr(slash + 1)), value);
                } else if (key.substr(0, slash + 1) == UpkeepOrderPrefix) {
                    addEarlierUpkeepOrder(std::string(key.substr(slash + 1)), value);
                } else if (const auto wave = Ini::toInteger(key.substr(0, slash));
                           wave && slash != std::string_view::npos) {
                    m_loadedMaintenance.emplace_back(*wave, std::string(key.substr(slash + 1)));
                }
            },
            [this, epoch](StoreAnswer answer) {
                if (epoch != m_epoch) {
                    return;
                }
                if (answer.status != StoreStatus::Done) {
                    m_epoch.reset(); // retried with the next update
                    m_loadedMaintenance.clear();
                    m_earlierOrders.clear();
                    m_earlierUpkeepOrders.clear();
                    return;
                }
                m_planner = std::make_unique<Machines::MachinePlanner>(
                    m_settings.planner, [this](const std::string &pool, const Machines::Machine &machine) {
                        return m_layout.cellOf(pool, machine.rack);
                    });
                m_planner->setPools(m_pools);
                for (const auto &[number, wave] : m_waves) {
                    m_planner->setWave(wave);
                }
                for (const EarlierOrder &it : m_earlierOrders) {
                    m_planner->restoreOrder(it.machine, instantOf(it.at));
                }
                for (const auto &[machine, at] : std::exchange(m_earlierUpkeepOrders, {})) {
                    m_planner->restoreUpkeepOrder(machine, instantOf(at));
                }
                for (const auto &[wave, machine] : std::exchange(m_loadedMaintenance, {})) {
                    m_planner->restoreUpkeep(wave, machine);
                }
                Base::LogLine(Base::LogLevel::Info, "machines-taken-over").with("epoch", epoch);
                m_takenOverAt = m_timers.now();
                m_lastListedAt = {};
                update();
            });
    }

    void readMachines()
    {
        const Base::Instant now = m_timers.now();
        const auto period =
            m_planner->hasPendingWork() ? m_settings.listInterval : m_settings.idleListInterval;
        if (m_isListing || now < m_lastListedAt + period) {
            return;
        }
        m_isListing = true;
        m_lastListedAt = now;
        m_platform.listMachines([this, now](std::optional<std::vector<Machines::Machine>> machines) {
            m_isListing = false;
            if (!machines) {
                return;
            }
            m_onMachinesListed(*machines);
            if (m_planner) {
                m_planner->setMachines(*machines, now);
                scheduleEarlyPass();
            }
        });
    }

    void readDemand()
    {
        for (const Machines::Pool &it : m_pools) {
            const auto cells = m_layout.cellsOf(it.name);
            for (std::size_t n = 0; n < cells.size() && !it.isStandby; ++n) {
                readDemand(it.name, n, cells[n]);
            }
        }
    }

    // Services can share a shard if there are more services than shards, so the reply may list others too.
    void readDemand(const std::string &pool, std::size_t cell, ShardNumber shard)
    {
        m_route({.shard = shard, .operation = Operation::Demand},
                m_settings.requestTimeout,
                [this, pool, cell](JobReply reply) {
                    if (!m_planner || reply.status != JobReply::Status::Done) {
                        return;
                    }
                    for (Jobs::ServiceDemand &demand : reply.demand) {
                        if (demand.service != pool) {
                            continue;
                        }
                        const bool isShort = m_planner->setDemand({pool,
                                                                   cell,
                                                                   demand.milliCores,
                                                                   demand.lateMilliCores,
                                                                   demand.longRunningMilliCores,
                                                                   demand.arrivedWork,
                                                                   demand.minWorkers,
                                                                   demand.emptyWorkers,
                                                                   std::move(demand.releasableWorkers),
                                                                   demand.arrivedJobs},
                                                                  m_timers.now());
                        if (isShort) {
                            m_earlyPassTimer.arm(EarlyPassDelay, [this] { runEarlyPass(); });
                        }
                    }
                    scheduleEarlyPass();
                });
    }

    // A new owner doesn't wait for the next period but plans as soon as machines and demand are known.
    void scheduleEarlyPass()
    {
        if (m_timers.now() - m_takenOverAt < EarlyPassWindow) {
            m_earlyPassTimer.arm(EarlyPassDelay, [this] { runEarlyPass(); });
        }
    }

    void runEarlyPass()
    {
        if (m_planner && m_currentEpoch()) {
            runPlanner();
        }
    }

    void execute(Machines::EvacuateWorker &order)
    {
        const auto cells = m_layout.cellsOf(order.pool);
        if (order.cell < cells.size()) {
            m_evacuations[cells[order.cell]].push_back(std::move(order.worker));
        }
    }

    // Sends one request per shard, because hundreds of workers can be evacuated at the same time.
    void sendEvacuations()
    {
        for (const auto &it : std::exchange(m_evacuations, {})) {
            m_route(
                {.shard = it.first, .operation = Operation::Evacuate, .workers = it.second},
                m_settings.requestTimeout,
                [this, workers = it.second](const JobReply &reply) { evacuationsAnswered(workers, reply); });
        }
    }

    void evacuationsAnswered(std::span<const std::string> workers, const JobReply &reply)
    {
        if (!m_planner || reply.status != JobReply::Status::Done) {
            return;
        }
        const std::set<std::string_view> empty(reply.emptyWorkers.begin(), reply.emptyWorkers.end());
        bool needsPass = false;
        for (const std::string &it : workers) {
            needsPass =
                m_planner->handleEvacuationReport(it, empty.count(it) > 0, m_timers.now()) || needsPass;
        }
        if (needsPass) {
            m_emptyWorkerTimer.arm({}, [this] { orderForEmptyMachines(); });
        }
    }

    // An order is stored before it is sent, so that the next owner knows which machines may still receive it
    // and must not be given another one yet.
    template<typename Send, typename Reject>
    void storeOrder(const std::string &machine, Send send, Reject reject)
    {
        const std::string at = std::to_string(m_wallClock().time_since_epoch().count()) + " " + m_member;
        m_queuedRecords.push_back(
            {{std::string(OrderPrefix) + machine, at}, [this, machine, send, reject](bool isStored) {
                 // During an outage of the store the order may have become outdated.
                 if (isStored && m_planner && m_planner->isOrderDue(machine, m_timers.now())) {
                     send();
                 } else {
                     reject();
                 }
             }});
        writeRecords();
    }

    void execute(Machines::MoveMachine &order)
    {
        const auto answer = [this, order, epoch = *m_epoch](Machines::OrderResult result) {
            logOrderResult(epoch, result, order.machine);
            if (m_planner) {
                m_planner->handleMoveResult(order, result, m_timers.now());
            }
        };
        storeOrder(
            order.machine,
            [this, order, answer, epoch = *m_epoch] {
                Base::LogLine(Base::LogLevel::Info, "machine-moves")
                    .with("machine", order.machine)
                    .with("pool", order.pool)
                    .with("epoch", epoch);
                m_platform.moveMachine(epoch, order, answer);
            },
            [answer] { answer(Machines::OrderResult::NotDone); });
    }

    void execute(Machines::UpkeepMachine &order)
    {
        const auto answer = [this, order, epoch = *m_epoch](Machines::OrderResult result) {
            logOrderResult(epoch, result, order.machine);
            if (m_planner) {
                m_planner->handleUpkeepResult(order, result, m_timers.now());
            }
        };
        // An earlier build ignores this record.
        m_queuedRecords.push_back({{std::string(UpkeepOrderPrefix) + order.machine,
                                    std::to_string(m_wallClock().time_since_epoch().count())},
                                   [](bool) {
                                   }});
        storeOrder(
            order.machine,
            [this, order, answer, epoch = *m_epoch] {
                Base::LogLine(Base::LogLevel::Info, "machine-upkeep")
                    .with("machine", order.machine)
                    .with("wave", order.wave)
                    .with("epoch", epoch);
                m_platform.upkeepMachine(epoch, order, answer);
            },
            [answer] { answer(Machines::OrderResult::NotDone); });
    }

    void logOrderResult(Jobs::Epoch epoch, Machines::OrderResult result, const std::string &machine)
    {
        if (result == Machines::OrderResult::Done) {
            return;
        }
        Base::LogLine(Base::LogLevel::Warning, "machine-order-not-done")
            .with("machine", machine)
            .with("result", static_cast<int>(result));
        // There is a newer owner. This one does nothing until it owns the machines under a later epoch.
        if (result == Machines::OrderResult::Fenced && epoch == m_epoch) {
            m_planner.reset();
        }
    }

    void execute(Machines::WriteWaveStatus &order)
    {
        m_platform.writeWaveStatus(*m_epoch, order);
    }

    void execute(Machines::RecordUpkeep &order)
    {
        m_queuedRecords.push_back({{std::to_string(order.wave) + "/" + order.machine, "begun"}, [](bool) {
                                   }});
        writeRecords();
    }

    // Only one append is in flight at a time. If it gets no answer, it is sent again unchanged with the same
    // sequence number.
    void writeRecords()
    {
        if (m_isWriting || !m_epoch) {
            return;
        }
        if (m_recordsInFlight.empty()) {
            m_recordsInFlight = std::exchange(m_queuedRecords, {});
            m_mayBeStored = false;
        }
        if (m_recordsInFlight.empty()) {
            return;
        }
        m_isWriting = true;
        std::vector<Jobs::Record> records;
        records.reserve(m_recordsInFlight.size());
        for (const PendingRecord &it : m_recordsInFlight) {
            records.push_back(it.record);
        }
        m_platform.appendMachineRecords(
            *m_epoch, m_sequence, records, [this, epoch = *m_epoch](StoreAnswer answer) {
                m_isWriting = false;
                if (epoch == m_epoch) {
                    recordsWritten(answer);
                }
            });
    }

    void recordsWritten(StoreAnswer answer)
    {
        switch (answer.status) {
        case StoreStatus::Done:
            ++m_sequence;
            finishRecords(true);
            return;
        case StoreStatus::OutOfSequence:
            m_sequence = answer.expectedSequence;
            break;
        case StoreStatus::Unknown:
            m_mayBeStored = true;
            break;
        case StoreStatus::Fenced:
        case StoreStatus::NotDone:
        case StoreStatus::Full:
            if (!m_mayBeStored) {
                finishRecords(false);
                return;
            }
            break;
        }
        m_timers.subscribeAfter(m_settings.period, [this] { writeRecords(); });
    }

    void finishRecords(bool isStored)
    {
        for (const PendingRecord &it : std::exchange(m_recordsInFlight, {})) {
            it.onStored(isStored);
        }
        writeRecords();
    }

    // For this time after taking over, each machine list and each demand triggers a planner pass.
    static constexpr Base::Duration EarlyPassWindow = std::chrono::milliseconds{1000};
    // Answers that arrive within this time are handled in one pass.
    static constexpr Base::Duration EarlyPassDelay = std::chrono::milliseconds{10};
    // Upper bound of the clock difference between two instances.
    static constexpr Base::Duration MaxClockDifference = std::chrono::milliseconds{1000};
    static constexpr std::string_view OrderPrefix = "order/";
    static constexpr std::string_view UpkeepOrderPrefix = "ordered-upkeep/";

    struct EarlierOrder {
        std::string machine;
        Jobs::WallTime at;
        std::string member; ///< that gave the order; empty if the record doesn't name it
    };

    /// A record to be written, and the callback for its outcome.
    struct PendingRecord {
        Jobs::Record record;
        std::function<void(bool isStored)> onStored;
    };

    Platform &m_platform;
    Base::TimerService &m_timers;
    MachineControllerSettings m_settings;
    const ServiceLayout &m_layout;
    WallClock m_wallClock;
    CurrentEpoch m_currentEpoch;
    Route m_route;
    MachinesListed m_onMachinesListed;
    HasEnded m_hasEnded;
    std::string m_member;
    Base::OneShotTimer m_timer;
    Base::OneShotTimer m_emptyWorkerTimer; ///< for orders as soon as a worker is empty
    Base::OneShotTimer m_earlyPassTimer; ///< for a pass with the first answers after taking over
    Base::Instant m_takenOverAt;
    std::vector<Machines::Pool> m_pools;
    std::map<std::uint64_t, Machines::Wave> m_waves;
    std::vector<std::pair<std::uint64_t, std::string>>
        m_loadedMaintenance; ///< loaded records: wave and machine
    std::optional<Jobs::Epoch> m_epoch;
    std::unique_ptr<Machines::MachinePlanner> m_planner;
    std::vector<EarlierOrder> m_earlierOrders;
    std::map<std::string, Jobs::WallTime> m_earlierUpkeepOrders; ///< by machine
    std::map<ShardNumber, std::vector<std::string>> m_evacuations; ///< workers, collected during a pass
    std::vector<PendingRecord> m_recordsInFlight; ///< in the append in flight
    std::vector<PendingRecord> m_queuedRecords; ///< for the next append
    bool m_mayBeStored = false; ///< an attempt of the append got no answer
    std::uint64_t m_sequence = 1;
    Base::Instant m_lastListedAt;
    Base::Instant m_nextStatusAt;
    bool m_isListing = false;
    bool m_isWriting = false;
};

} // namespace JobService
