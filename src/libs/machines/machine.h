#pragma once

#include <base/instant.h>
#include <jobs/jobspec.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Machines
{

enum class MachineState { Up, Moving, Upkeep, Down };

/// A machine of the fleet. Each time that it starts, after a move or upkeep, it runs as a new worker.
struct Machine {
    std::string id;
    std::string pool; ///< the service that it serves
    MachineState state = MachineState::Down;
    std::string worker; ///< ID; empty while no worker runs on the machine
    std::string rack;
    Jobs::Resources capacity;
};

/// The machines of a service.
struct Pool {
    std::string name;
    bool isStandby = false; ///< its machines are powered off and cost nothing
    std::size_t cells = 1; ///< number of parts that the pool is divided into, each with its own owner
};

/// What the jobs in a cell of a pool need, as reported by the owner of the cell's shard.
struct PoolDemand {
    std::string pool;
    std::size_t cell = 0;
    std::int64_t milliCores = 0; ///< of tasks that run or are ready and can be in time
    std::int64_t lateMilliCores = 0; ///< of tasks that run or are ready but are too late
    std::int64_t longRunningMilliCores = 0; ///< of the long-running tasks among these
    double arrivedWork = 0; ///< core-seconds of the jobs accepted since the owner started
    std::uint32_t minMachines = 0; ///< needed to keep long-running tasks apart from each other
    std::uint32_t emptyMachines = 0; ///< needed in addition, for tasks that fit on no present one
    std::vector<std::string> releasableWorkers{}; ///< without long-running tasks, the soonest empty first
    std::uint64_t arrivedJobs = 0; ///< those of arrivedWork; 0 if the owner doesn't report them
};

/// Machines that must undergo upkeep within a given time.
struct Wave {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    Base::Duration duration{};
    std::uint32_t maxDown = 1; ///< limit on the machines of the wave that are down at the same time
    Base::Instant announcedAt;
};

/// No new tasks are started on the worker, and those that can be moved are moved away.
struct EvacuateWorker {
    std::string worker;
    std::string pool;
    std::size_t cell = 0;
};

/// Ends everything that runs on the machine and starts a new worker in `pool`.
struct MoveMachine {
    std::string machine;
    std::string pool;
};

/// Ends everything that runs on the machine and starts a new worker after the upkeep.
struct UpkeepMachine {
    std::string machine;
    std::uint64_t wave = 0;
};

struct WriteWaveStatus {
    std::uint64_t wave = 0;
    bool isCompleted = false;
};

/// Stores that the machine's upkeep in the wave has begun, for the next owner.
struct RecordUpkeep {
    std::uint64_t wave = 0;
    std::string machine;
};

using Command = std::variant<EvacuateWorker, MoveMachine, UpkeepMachine, WriteWaveStatus, RecordUpkeep>;

enum class OrderResult {
    Done,
    NotDone, ///< and never will be
    Busy, ///< the machine can't accept an order at present
    Fenced, ///< rejected because another holder has a higher fencing token
    Unknown, ///< the order may or may not have been carried out
};

} // namespace Machines
