#pragma once

#include "jobevents.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace Policy
{

enum class JobPhase { Waiting, Running, Stopping };

struct JobState {
    JobSpec spec;
    std::uint64_t sequence = 0; ///< order of acceptance
    JobPhase phase = JobPhase::Waiting;
    std::uint32_t attempt = 0; ///< the last one started
    Base::InstanceName worker; ///< of the last attempt
    JobSize reserved;
    std::uint32_t throttle = 1000; ///< parts per thousand of the reserved cores
    StopMode stopMode = StopMode::Checkpoint;
    std::optional<std::uint64_t> checkpoint;
    std::set<Base::InstanceName> failedOn;

    bool operator==(const JobState &) const = default;
};

/// The state of all jobs, a pure function of the job events. Events that are not valid in the job's current
/// state are ignored.
struct JobTable {
    std::map<JobId, JobState> open;
    std::map<JobId, JobResult> ended; ///< the last MaxEnded, to recognize repeated submissions
    std::deque<JobId> endedInOrder;
    std::map<Base::InstanceName, std::set<JobId>>
        failures; ///< jobs that failed on a worker since it last completed one
    std::uint64_t accepted = 0;

    static constexpr std::size_t MaxEnded = 16384;

    void apply(const JobEvent &event);

    bool operator==(const JobTable &) const = default;
};

} // namespace Policy
