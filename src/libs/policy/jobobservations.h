#pragma once

#include "jobevents.h"
#include "sizeestimate.h"

#include <base/instant.h>

#include <map>
#include <optional>
#include <vector>

namespace Policy
{

enum class TaskPhase {
    Running,
    Completed,
    Failed, ///< it ran and failed
    Refused, ///< the worker never began it
    Stopped, ///< as it was asked to
};

/// What the platform says of one attempt; it lags.
struct TaskReport {
    JobId job;
    std::uint32_t attempt = 0;
    TaskPhase phase = TaskPhase::Running;
    JobSize used;
    std::optional<std::uint64_t> checkpoint;
    std::string detail;

    bool operator==(const TaskReport &) const = default;
};

struct WorkerReport {
    Base::InstanceName worker;
    bool isLive = true;
    JobSize total;
    JobSize forJobs; ///< what interactive work leaves

    bool operator==(const WorkerReport &) const = default;
};

/// The cores that a team may use for urgent work at any time; batch is shared out in proportion to it.
struct TeamQuota {
    TeamName team;
    double cores = 0;

    bool operator==(const TeamQuota &) const = default;
};

/// All that a pass over the jobs sees besides the JobTable.
struct JobObservations {
    Base::Instant at; ///< on the planner's own clock
    bool isPlatformReachable = true;
    std::vector<WorkerReport> workers; ///< sorted by worker; one that is missing is gone
    std::vector<TaskReport> tasks;
    std::vector<TeamQuota> quotas; ///< sorted by team
    std::vector<JobSpec> submissions; ///< in the order of their arrival; may repeat
    std::vector<JobId> cancellations; ///< may repeat

    bool operator==(const JobObservations &) const = default;
};

/// What is carried from one pass over the jobs to the next besides the JobTable.
struct JobMemory {
    SizeMemory sizes;
    std::map<JobId, JobSize> peaks; ///< highest usage of running jobs
    std::map<JobId, Base::Instant> stopSince; ///< first seen as stopping
    std::map<JobId, Base::Instant> waitingSince;
    std::map<Base::InstanceName, Base::Instant> lastProbe; ///< of workers that fail what they start

    bool operator==(const JobMemory &) const = default;
};

} // namespace Policy
