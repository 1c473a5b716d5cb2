#pragma once

#include <base/names.h>
#include <base/strongid.h>
#include <base/verdict.h>
#include <document/document.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Policy
{

struct JobTag;
struct JobKindTag;
struct TeamTag;

/// Chosen by the submitter. Submissions with the same id are the same job.
using JobId = Base::StrongName<JobTag>;
/// Jobs of the same kind and team are expected to need similar resources.
using JobKind = Base::StrongName<JobKindTag>;
using TeamName = Base::StrongName<TeamTag>;

/// Resources that a job uses on its worker, or that a worker has.
struct JobSize {
    double cores = 0;
    double memory = 0; ///< GB
    std::uint32_t accelerators = 0;

    bool operator==(const JobSize &) const = default;
};

struct JobSpec {
    JobId id;
    TeamName team;
    JobKind kind;
    Document::Priority priority = Document::Priority::Batch; ///< Urgent or Batch
    JobSize declared;
    bool isIdempotent = false; ///< may be started again although an earlier attempt may have run
    bool canCheckpoint = false;

    bool operator==(const JobSpec &) const = default;
};

/// The submission is accepted. Every accepted job ends with exactly one JobEnded.
struct JobAccepted {
    JobSpec spec;

    bool operator==(const JobAccepted &) const = default;
};

/// The submission is rejected; nothing was run.
struct JobRefused {
    JobId job;
    std::string reason;

    bool operator==(const JobRefused &) const = default;
};

/// The worker is asked to run the job under a lease identified by job and attempt. Later reports of earlier
/// attempts are ignored.
struct JobStarted {
    JobId job;
    std::uint32_t attempt = 0; ///< from 1
    Base::InstanceName worker;
    JobSize reserved;
    std::string reason;

    bool operator==(const JobStarted &) const = default;
};

/// The worker is asked to give the attempt this share of the cores reserved for it.
struct JobThrottled {
    JobId job;
    std::uint32_t attempt = 0;
    std::uint32_t perMille = 0;
    std::string reason;

    bool operator==(const JobThrottled &) const = default;
};

/// The attempt saved its progress; a later attempt resumes from there.
struct JobCheckpointed {
    JobId job;
    std::uint32_t attempt = 0;
    std::uint64_t checkpoint = 0;

    bool operator==(const JobCheckpointed &) const = default;
};

enum class StopMode { Checkpoint, Kill, Cancel };

/// The worker is asked to end the attempt, after a checkpoint or immediately. Cancel also ends the job.
struct JobStopRequested {
    JobId job;
    std::uint32_t attempt = 0;
    StopMode mode = StopMode::Checkpoint;
    std::string reason;

    bool operator==(const JobStopRequested &) const = default;
};

/// The attempt is over and the job waits for another one.
struct JobReleased {
    JobId job;
    std::uint32_t attempt = 0;
    bool hasFailed = false; ///< the attempt failed, or the worker refused it
    std::string reason;

    bool operator==(const JobReleased &) const = default;
};

enum class JobResult { Completed, Failed, Cancelled, Lost, Refused };

/// The job has ended; recorded once per job.
struct JobEnded {
    JobId job;
    JobResult result = JobResult::Completed;
    Base::Verdict verdict = Base::Verdict::Ran;
    std::string reason;

    bool operator==(const JobEnded &) const = default;
};

using JobEvent = std::variant<JobAccepted,
                              JobRefused,
                              JobStarted,
                              JobThrottled,
                              JobCheckpointed,
                              JobStopRequested,
                              JobReleased,
                              JobEnded>;

} // namespace Policy
