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

/// A machine of the fleet; a worker is one life of it.
struct Machine {
    std::string id;
    std::string pool; ///< the service that it works for
    MachineState state = MachineState::Down;
    std::string worker; ///< empty while none runs on it
    std::string rack;
    Jobs::Resources capacity;
};

/// A service as a pool of machines.
struct Pool {
    std::string name;
    bool isStandby = false; ///< its machines are off and cost nothing
    std::size_t cells = 1; ///< parts with an owner each that it is divided into
};

/// What the jobs of a pool's cell need of its machines, as the owner of its shard reports it.
struct PoolDemand {
    std::string pool;
    std::size_t cell = 0;
    std::int64_t milliCores = 0; ///< of what runs or could run now, and can be in time
    std::int64_t lateMilliCores = 0; ///< of what runs or could run now, but is past its time
    std::int64_t longRunningMilliCores = 0; ///< of long-running tasks, among those
    double arrivedWork = 0; ///< core-seconds handed in since its owner began
    std::uint32_t minMachines = 0; ///< that long-running tasks need to stay apart from each other
    std::uint32_t emptyMachines = 0; ///< more than there are, for tasks that fit on none of them
    std::vector<std::string>
        releasableWorkers; ///< workers without long-running tasks, the soonest empty first
};

/// Machines that are due for upkeep within a time.
struct Wave {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    Base::Duration duration{};
    std::uint32_t mostDown = 1; ///< machines of the wave that may be down at the same time
    Base::Instant noticedAt;
};

/// Keeps new tasks from a worker and moves away what can be moved.
struct EvacuateWorker {
    std::string worker;
    std::string pool;
    std::size_t cell = 0;
};

/// Everything that runs on the machine ends, and another worker begins in `pool`.
struct MoveMachine {
    std::string machine;
    std::string pool;
};

/// Everything that runs on the machine ends, and another worker begins after the upkeep.
struct UpkeepMachine {
    std::string machine;
    std::uint64_t wave = 0;
};

struct WriteWaveStatus {
    std::uint64_t wave = 0;
    bool isCompleted = false;
};

/// The machine's upkeep in the wave has begun; kept for the next owner.
struct RecordUpkeep {
    std::uint64_t wave = 0;
    std::string machine;
};

using Command = std::variant<EvacuateWorker, MoveMachine, UpkeepMachine, WriteWaveStatus, RecordUpkeep>;

enum class OrderResult {
    Done,
    NotDone, ///< and won't be
    Busy, ///< the machine can't take the order now
    Fenced, ///< another holder has a higher token
    Unknown, ///< may have been carried out
};

} // namespace Machines
