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

/// The occurrence can still meet its objective if the tasks that are ready start now; long-running ones always can.
bool canMeetObjective(const Job &job, std::uint32_t number, const Occurrence &occurrence, WallTime now);

/// Sorts by who goes first: long-running tasks, then what can still meet its objective, by priority and by
/// the least slack, then what is past help, in the order of acceptance. Answers a queue that gets several
/// times its pool's room for some seconds: help that comes too late for one job is spent on one that it still
/// helps, and what is late still finishes once the surge is over.
void sortByUrgency(std::vector<ReadyOccurrence> &ready, WallTime now);

} // namespace Jobs
