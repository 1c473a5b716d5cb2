#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Jobs
{

using Milliseconds = std::chrono::milliseconds;

/// The system time of this machine, in milliseconds since 1970.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// The resources that a task needs, or the capacity of a worker.
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

inline Resources multiple(const Resources &of, std::uint64_t n)
{
    const auto factor = static_cast<std::int64_t>(n);
    return {of.milliCores * factor, of.memory * factor, of.accelerators * factor};
}

/// The larger amount of each resource.
inline Resources larger(const Resources &a, const Resources &b)
{
    return {std::max(a.milliCores, b.milliCores),
            std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

/// A node of a job's graph, consisting of `count` identical tasks.
struct Stage {
    std::uint32_t count = 0;
    Resources size; ///< resources of each task
    Milliseconds estimate{}; ///< rough estimate of the duration of one task
    std::vector<std::uint32_t> dependsOn; ///< indexes of earlier stages that must be done first
    bool canCheckpoint = false;
    bool isGang = false; ///< all tasks have to run at the same time
    bool isRackSensitive = false; ///< slower when spread over racks
    bool isSpeculative = false; ///< several copies of a task may run at the same time
    bool isLongRunning = false; ///< runs until the job is cancelled
    bool isBestEffort = false; ///< best effort: uses idle cores of the worker, reserves none
    std::string requiredLabel; ///< empty: any worker
    std::string dataRack; ///< rack on which the tasks run faster; empty: any rack
    std::string image;
    std::uint32_t tasksPerWorker = 0; ///< maximum number of tasks on one worker; 0: no limit
    Milliseconds tailTarget{}; ///< target of the tail latency of a long-running task
    std::uint32_t maxUnavailable = 0; ///< limit of tasks made unavailable by planned operations; 0: none

    bool operator==(const Stage &) const = default;
};

/// Expected response times of the external advice service, which decides on the workers that a stage may run
/// on.
struct AdvicePolicy {
    Milliseconds timePerCall{}; ///< per call
    Milliseconds timePerWorker{}; ///< per worker in a call

    bool operator==(const AdvicePolicy &) const = default;
};

/// The configuration of a queue when a job was accepted.
struct QueuePolicy {
    std::string name;
    std::string service; ///< service whose workers run the tasks
    std::uint32_t priority = 0; ///< 0 is the highest
    std::uint32_t maxAttempts = 1; ///< failed runs of a task that fail its job; not if long-running
    double slackFactor = 1; ///< of the objective, multiplied by the length of the critical path
    Milliseconds targetLatency{}; ///< of the objective, added to the scaled critical path
    std::optional<AdvicePolicy> advice;

    bool operator==(const QueuePolicy &) const = default;
};

struct JobSpec {
    std::string id;
    std::string workspace; ///< of the caller; empty on a public route
    bool isExcess = false; ///< beyond the accepted load of the workspace when it was submitted
    QueuePolicy queue;
    std::string payload; ///< passed to the tasks unchanged
    std::vector<Stage> stages;
    WallTime firstDue{}; ///< due time of the first occurrence of a timed job
    Milliseconds interval{};
    std::uint32_t occurrences = 0; ///< 0: not timed, runs once and immediately

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
