#pragma once

#include <policy/jobplanner.h>

#include <functional>
#include <random>

/// A simulated job: its specification and its actual behaviour, which may differ from the declaration.
struct SimulatedJob {
    Policy::JobSpec spec;
    Policy::JobSize size;
    int seconds = 60; ///< of work
    bool failsAlways = false;
};

/// Result of one simulated job history.
struct JobOutcome {
    std::size_t submitted = 0;
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t lost = 0;
    std::size_t cancelled = 0;
    std::size_t refused = 0;
    std::size_t open = 0; ///< at the end
    std::size_t unsafeRestarts =
        0; ///< restarts of jobs that are not idempotent and not proven not to have run
    std::size_t falseNotRun = 0; ///< jobs reported as not run although they had run
    std::size_t attempts = 0;
    std::size_t blockedUrgent =
        0; ///< waited for the quota, or for capacity that throttling and stopping can't free
    int maxUrgentStartMilliseconds = 0; ///< longest time from submission to start of the other urgent jobs
    int lastEnd = 0; ///< seconds
};

using JobPlanner = std::function<Policy::JobPlanResult(const Policy::JobTable &table,
                                                       const Policy::JobObservations &observations,
                                                       const Policy::JobMemory &memory)>;

/// Simulates 12 workers with 16 cores and 32 GB each and 300 jobs of six teams: declared sizes are wrong by a
/// factor of up to four, one worker fails every job, workers are lost, many jobs are cancelled at once, and
/// some jobs always fail. Reports lag behind.
JobOutcome simulateJobs(std::uint64_t seed, const JobPlanner &planner);

/// Baseline planner: first come, first served, on the worker with the most free cores by declared sizes.
/// Every attempt that doesn't complete is restarted.
Policy::JobPlanResult planFirstComeFirstServed(const Policy::JobTable &table,
                                               const Policy::JobObservations &observations,
                                               const Policy::JobMemory &memory);
