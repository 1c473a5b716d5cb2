#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Jobs
{

using Milliseconds = std::chrono::milliseconds;

/// The time of day, as this machine has it, in milliseconds since 1970.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// What a task occupies on its worker, or what a worker has.
struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t memory = 0; ///< MB
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    bool contains(const Resources &other) const
    {
        return other.milliCores <= milliCores && other.memory <= memory && other.accelerators <= accelerators;
    }
    Resources &operator+=(const Resources &other)
    {
        milliCores += other.milliCores;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        milliCores -= other.milliCores;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
};

/// One node of a job's graph: `count` equal tasks.
struct Stage {
    std::uint32_t count = 0;
    Resources size; ///< of each task
    Milliseconds estimate{}; ///< rough duration of one task
    std::vector<std::uint32_t> dependsOn; ///< earlier stages that must have ended first
    bool canCheckpoint = false;
    bool isGang = false; ///< all tasks run at the same time or not at all
    bool isRackSensitive = false; ///< slower when spread over racks
    bool isSpeculative = false; ///< copies may run beside each other
    bool isLongRunning = false; ///< runs until the job is cancelled
    bool fillsLeftovers = false; ///< takes what the others on the worker leave; not counted against its cores
    std::string requiredLabel; ///< empty: any worker
    std::string dataRack; ///< faster there; empty: anywhere
    std::string image;
    std::uint32_t tasksPerWorker = 0; ///< at most so many on one worker; 0: any number
    Milliseconds tailTarget{}; ///< of a long-running task's own response times
    std::uint32_t maxUnavailable = 0; ///< tasks that planned work may hold away at the same time; 0: no limit

    bool operator==(const Stage &) const = default;
};

/// How an outside service decides which workers a stage may run on.
struct AdvicePolicy {
    Milliseconds decide{}; ///< for each call
    Milliseconds perWorker{}; ///< for each worker in a call

    bool operator==(const AdvicePolicy &) const = default;
};

/// What the configuration says of a queue at the time of a job's acceptance.
struct QueuePolicy {
    std::string name;
    std::string service; ///< whose workers run the tasks
    std::uint32_t priority = 0; ///< 0 goes first
    std::uint32_t maxAttempts = 1; ///< runs of one task that may fail
    double slackFactor = 1; ///< of the objective, times the longest chain of work
    Milliseconds targetLatency{}; ///< of the objective, added to that
    std::optional<AdvicePolicy> advice;

    bool operator==(const QueuePolicy &) const = default;
};

struct JobSpec {
    std::string id;
    QueuePolicy queue;
    std::string payload; ///< handed to the tasks as it is
    std::vector<Stage> stages;
    WallTime firstDue{}; ///< of a job with occurrences
    Milliseconds interval{};
    std::uint32_t occurrences = 0; ///< 0: runs once, at once

    bool operator==(const JobSpec &) const = default;

    bool isTimed() const
    {
        return occurrences > 0;
    }
    bool isLongRunning() const
    {
        for (const Stage &it : stages) {
            if (it.isLongRunning) {
                return true;
            }
        }
        return false;
    }
};

struct TaskId {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t stage = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default;
};

/// "JOB.OCCURRENCE.STAGE.INDEX"
std::string toString(const TaskId &task);
std::optional<TaskId> taskIdFromString(std::string_view text);

} // namespace Jobs
