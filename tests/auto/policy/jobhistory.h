#pragma once

#include <policy/jobplanner.h>

#include <functional>
#include <random>

/// The true nature of a job, which its declaration doesn't tell.
struct JobTruth {
    Policy::JobSpec spec;
    Policy::JobSize size;
    int seconds = 60; ///< of work
    bool failsAlways = false;
};

/// What came of one seeded history of jobs.
struct JobOutcome {
    std::size_t submitted = 0;
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t lost = 0;
    std::size_t cancelled = 0;
    std::size_t refused = 0;
    std::size_t open = 0; ///< at the end
    std::size_t doubled = 0; ///< started again though not idempotent and not proven not run
    std::size_t untrueNotRun = 0; ///< told not run although it had run
    std::size_t attempts = 0;
    std::size_t blockedUrgent =
        0; ///< waited for the quota, or for room that throttling and stopping can't make
    int worstUrgentMilliseconds = 0; ///< from submission to start, of the others
    int lastEnd = 0; ///< seconds
};

using JobPlanner = std::function<Policy::JobPass(const Policy::JobTable &table,
                                                 const Policy::JobObservations &observations,
                                                 const Policy::JobMemory &memory)>;

/// 12 workers of 16 cores and 32 GB for some 300 jobs of six teams: declared sizes off by up to four times,
/// one worker that fails all, deaths of workers, a wave of cancellations, jobs that always fail. Reports lag.
JobOutcome runJobs(std::uint64_t seed, const JobPlanner &planner);

/// The naive version: first come, first served, on the emptiest worker by declared sizes; whatever doesn't
/// complete is started again.
Policy::JobPass planFirstComeFirstServed(const Policy::JobTable &table,
                                         const Policy::JobObservations &observations,
                                         const Policy::JobMemory &memory);
