#pragma once

#include "ownership.h"
#include "workspaces.h"

#include <jobs/job.h>

#include <optional>
#include <string>
#include <string_view>

namespace JobService
{

enum class Operation { Submit, Cancel, State, Pending, Demand, Evacuate };

/// The shard that is to accept a new job of a queue which has had other services.
struct IntendedHome {
    ShardNumber shard = 0;
    std::vector<std::string> queue{}; ///< identifiers of the queue, see QueueHistory
    std::string service{}; ///< present service of the queue, which is stored in its history
};

/// A request to the owner of a shard. A member that doesn't own the shard replies NotOwner instead of
/// forwarding the request.
struct JobRequest {
    ShardNumber shard = 0;
    Operation operation = Operation::State;
    std::optional<Jobs::JobSpec> spec{}; ///< for Submit
    std::string subject{}; ///< job ID, or for Pending the queue
    std::optional<Caller> caller{}; ///< nullopt: a member of the system, which may access all jobs
    std::string queuePath{}; ///< for Submit: host and path prefix of the queue; empty from earlier builds
    std::vector<std::string> workers{}; ///< for Evacuate
    bool isForwardedByHome = false; ///< the job's home shard has recorded that it belongs to this shard
    std::optional<IntendedHome> intendedHome{}; ///< for State: who accepts the job if this shard denies it
};

enum class ReportedState { Queued, Running, Completed, Failed, Cancelled };

struct JobReply {
    enum class Status {
        Done,
        NoSuchJob,
        Refused, ///< nothing was stored, nothing will run
        Unplaceable, ///< like Refused, and a retry will be refused as well
        Unknown, ///< the request may have taken effect
        NotOwner,
        Redirected, ///< the job belongs to the shard `redirectedTo`
    };
    Status status = Status::Unknown;
    ReportedState state = ReportedState::Queued;
    std::uint64_t pending = 0;
    Jobs::Milliseconds retryAfter{};
    std::vector<Jobs::ServiceDemand> demand{};
    std::vector<std::string> emptyWorkers{}; ///< for Evacuate: workers on which nothing runs
    ShardNumber redirectedTo = 0;
    std::string failureReason{}; ///< for ReportedState::Failed; empty: unknown
    bool isUnsettled = false; ///< for Refused: the shard holds the job, which may be stored or not
};

/// Name for logs.
std::string_view toString(Operation operation);
std::string_view toString(JobReply::Status status);

std::string encode(const JobRequest &request);
std::optional<JobRequest> decodeRequest(std::string_view text);
std::string encode(const JobReply &reply);
std::optional<JobReply> decodeReply(std::string_view text);

} // namespace JobService
