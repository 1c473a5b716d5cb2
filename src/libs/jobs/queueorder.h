#pragma once

#include "job.h"

#include <vector>

namespace Jobs
{

/// An occurrence with tasks that could start.
struct ReadyOccurrence {
    Job *job = nullptr;
    std::uint32_t number = 0;
    Occurrence *occurrence = nullptr;
};

/// The occurrence can still meet its objective if the tasks that are ready start now; long-running ones
/// always can. `spent` is how long the stage that it is at has run.
bool canMeetObjective(const Job &job,
                      std::uint32_t number,
                      const Occurrence &occurrence,
                      WallTime now,
                      Milliseconds spent = {});

/// Sorts by who goes first: long-running tasks; jobs that have begun, so that work isn't left half done; jobs
/// that can still meet their objective; those for which it is tight; those that are late but still of use,
/// the soonest useless first; and last what is past help, which still finishes once the surge is over.
/// Answers a queue that gets several times its workers' room for some seconds. Going by the deadline alone,
/// such a queue starts each job just too late; see tests/auto/jobs/tst_queueorder.cpp.
void sortByUrgency(std::vector<ReadyOccurrence> &ready, WallTime now);

} // namespace Jobs
