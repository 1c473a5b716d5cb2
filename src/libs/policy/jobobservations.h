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
    Failed, ///< the task ran and failed
    Refused, ///< the worker never started it
    Stopped, ///< on request
};

/// The platform's report on one attempt. It may lag behind.
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
    JobSize forJobs; ///< the part not used by interactive work

    bool operator==(const WorkerReport &) const = default;
};

/// The cores that a team may use for urgent jobs at any time. Batch capacity is shared in proportion to it.
struct TeamQuota {
    TeamName team;
    double cores = 0;

    bool operator==(const TeamQuota &) const = default;
};

/// The input of a job planning pass besides the JobTable and the JobMemory.
struct JobObservations {
    Base::Instant at; ///< on the planner's own clock
    bool isPlatformReachable = true;
    std::vector<WorkerReport> workers; ///< sorted by worker; missing workers are gone
    std::vector<TaskReport> tasks;
    std::vector<TeamQuota> quotas; ///< sorted by team
    std::vector<JobSpec> submissions; ///< in order of arrival; may contain repetitions
    std::vector<JobId> cancellations; ///< may contain repetitions

    bool operator==(const JobObservations &) const = default;
};

/// State carried from one job planning pass to the next besides the JobTable.
struct JobMemory {
    SizeMemory sizes;
    std::map<JobId, JobSize> peaks; ///< highest usage of running jobs
    std::map<JobId, Base::Instant> stopSince; ///< when the stop was first seen
    std::map<JobId, Base::Instant> waitingSince;
    std::map<Base::InstanceName, Base::Instant> lastProbe; ///< of outlier workers

    bool operator==(const JobMemory &) const = default;
};

} // namespace Policy
