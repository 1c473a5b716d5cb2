#pragma once

#include "ownership.h"

#include <jobs/job.h>

#include <optional>
#include <string>
#include <string_view>

namespace JobService
{

enum class Operation { Submit, Cancel, State, Pending, Demand, Evacuate };

/// What a member asks of the owner of a shard. One hop only: an owner that isn't one says so.
struct JobRequest {
    ShardNumber shard = 0;
    Operation operation = Operation::State;
    std::optional<Jobs::JobSpec> spec{}; ///< of Submit
    std::string subject{}; ///< the job, or the queue of Pending
    std::vector<std::string> workers{}; ///< of Evacuate
    bool isSentOn = false; ///< the job's home has stored that this shard is to have it
};

enum class ShownState { Queued, Running, Completed, Failed, Cancelled };

struct JobReply {
    enum class Status {
        Done,
        NoSuchJob,
        Refused, ///< nothing was stored, nothing will run
        Hopeless, ///< as Refused, and a repeat will be refused too
        Unknown, ///< the request may have taken effect
        NotOwner,
        Elsewhere, ///< `elsewhere` has the job, or is to have it
    };
    Status status = Status::Unknown;
    ShownState state = ShownState::Queued;
    std::uint64_t pending = 0;
    Jobs::Milliseconds retryAfter{};
    std::vector<Jobs::ServiceDemand> demand{};
    std::vector<std::string> emptyWorkers{}; ///< of Evacuate: nothing runs there
    ShardNumber elsewhere = 0;
};

/// For logs.
std::string_view toString(Operation operation);
std::string_view toString(JobReply::Status status);

std::string encode(const JobRequest &request);
std::optional<JobRequest> decodeRequest(std::string_view text);
std::string encode(const JobReply &reply);
std::optional<JobReply> decodeReply(std::string_view text);

} // namespace JobService
