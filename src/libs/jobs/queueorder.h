#pragma once

#include "job.h"

#include <vector>

namespace Jobs
{

/// An occurrence that is not done yet.
struct UnfinishedOccurrence {
    Job *job = nullptr;
    std::uint32_t number = 0;
    Occurrence *occurrence = nullptr;
};

/// Whether the occurrence can still meet its objective if its ready tasks start now; always true for
/// long-running jobs. `spent` is how long its current stage has been running.
bool canMeetObjective(const Job &job,
                      std::uint32_t number,
                      const Occurrence &occurrence,
                      WallTime now,
                      Milliseconds spent = {});

/// Sorts by urgency: long-running jobs; started jobs, so that work is not left half done; jobs that can meet
/// their objective with a margin; jobs that can barely meet it; late jobs whose result is still of use, those
/// closest to their late limit first; jobs beyond the accepted load of their
/// workspace, started ones first; and finally expired jobs, which still finish after the overload.
/// Designed for queues that receive several times the capacity of their workers for some seconds. If such a
/// queue were ordered by deadline only, each job would start just too late; see
/// tests/auto/jobs/tst_queueorder.cpp.
void sortByUrgency(std::vector<UnfinishedOccurrence> &ready, WallTime now);

} // namespace Jobs
