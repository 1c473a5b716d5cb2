#pragma once

#include "job.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Jobs
{

/// Fencing token. Increases with each owner of a shard, and with each restart of a worker under one owner.
/// Workers refuse orders with a lower token than the highest one they have seen.
using OrderToken = std::uint64_t;

/// Number of an ownership. The store refuses appends with a lower epoch.
using Epoch = std::uint64_t;

/// Tokens of one owner of a shard: from its epoch multiplied by this on.
constexpr OrderToken TokensPerEpoch = 65536;

/// Number of a shard. A service has one shard, or one for each of its cells.
using ShardNumber = std::uint32_t;

/// A record of the store. An empty value deletes the key.
struct Record {
    std::string key;
    std::string value;
};

/// Records to be stored atomically, after the previous batch.
struct AppendBatch {
    std::uint64_t number = 0;
    std::vector<Record> records;
};

struct StartRun {
    std::string worker;
    OrderToken token = 0;
    TaskId task;
    std::uint32_t attempt = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseEnd = 0; ///< on the worker's clock, ms
    Base::Instant sentAt;
};

struct StopRun {
    std::string worker;
    OrderToken token = 0;
    TaskId task;
    std::uint32_t attempt = 0;
    Base::Instant sentAt;
};

/// Renews the lease of all runs on the worker and queries its running and ended runs.
struct RenewLease {
    std::string worker;
    OrderToken token = 0;
    std::optional<std::int64_t> leaseEnd; ///< on the worker's clock, ms; without it the lease is not renewed
    std::uint64_t ackCursor = 0; ///< the worker may remove ends up to this number
    std::uint64_t number = 0; ///< increases with each query of the worker
    Milliseconds longPollTime{}; ///< the worker answers once a run ends, at the latest after this time
};

/// Limits a run to a percentage of its cores.
struct PaceRun {
    std::string worker;
    OrderToken token = 0;
    TaskId task;
    std::uint32_t attempt = 0;
    int percent = 100;
};

/// Asks the advice service of the queue which workers may run a stage.
struct AdviceQuery {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t stage = 0;
    std::vector<std::string> workers;
    Milliseconds expected{}; ///< expected response time for this number of workers
};

struct AdviceTicket {
    std::string worker;
    std::string ticket;
};

struct AdviceAnswer {
    std::vector<AdviceTicket> allowed;
    Milliseconds validity{};
};

enum class Answer {
    Accepted, ///< the job is stored
    Cancelled, ///< the cancel is stored
    Refused, ///< not stored and will never run
    Unplaceable, ///< refused, and would be refused again
    Unknown, ///< not known yet whether the job is stored
    NoSuchJob,
    Redirected, ///< the job belongs to another shard of the service
};

struct SendReply {
    ReplyId reply = 0;
    Answer answer = Answer::Unknown;
    Milliseconds retryAfter{};
    ShardNumber redirectedTo = 0; ///< only for Answer::Redirected
};

/// Asks another shard whether it still has a job that was redirected to it.
struct QueryRedirectedJob {
    std::string job;
    ShardNumber shard = 0;
};

/// Another owner has taken over the shard, so this one must give it up.
struct RelinquishShard {
    std::string reason;
};

using Command = std::variant<AppendBatch,
                             StartRun,
                             StopRun,
                             RenewLease,
                             PaceRun,
                             AdviceQuery,
                             SendReply,
                             QueryRedirectedJob,
                             RelinquishShard>;

/// The result of an order to a worker.
enum class OrderResult {
    Done,
    Fenced, ///< the worker has seen a higher token
    Superseded, ///< the worker has seen this attempt or a later one
    TooLate, ///< the lease has already expired
    NoRoom,
    NoTicket,
    Unhealthy, ///< nothing was done, the worker reports itself unhealthy
    OtherInstance, ///< the address belongs to another worker
    Rejected, ///< the order is invalid
    NotSent, ///< the worker is unreachable, nothing was done
    NoAnswer, ///< may have been carried out or may still be
};

/// For logs.
std::string_view toString(OrderResult result);

struct ListedRun {
    TaskId task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    int percent = 0;
    std::int64_t load = 0; ///< tail latency in ms for a long-running task with a target, otherwise load in
                           ///< thousandths of a core
};

enum class RunEnd { Done, Failed, Stopped, LeaseExpired, Broken, Alone };

/// For logs.
std::string_view toString(RunEnd end);

struct ListedEnd {
    std::uint64_t number = 0; ///< increases until the worker restarts
    TaskId task;
    std::uint32_t attempt = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// A worker's answer to RenewLease.
struct RunList {
    std::int64_t clock = 0; ///< time of the worker's clock, ms
    std::int64_t startTime = 0; ///< wall time of the worker's start, ms; 0: unknown
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

/// The demand of the jobs of one service for workers, in cores of workers at their full size.
struct ServiceDemand {
    std::string service;
    std::int64_t milliCores = 0; ///< of running and ready tasks whose occurrence can meet its objective
    std::int64_t lateMilliCores = 0; ///< of other running and ready tasks
    std::int64_t longRunningMilliCores = 0; ///< of the long-running tasks in milliCores
    double arrivedWork = 0; ///< core-seconds of all jobs accepted by this owner, without long-running tasks
    std::uint32_t minWorkers = 0; ///< workers needed for the tasksPerWorker limits of long-running stages
    std::uint32_t emptyWorkers = 0; ///< empty workers needed because free capacity is fragmented
    std::vector<std::string> releasableWorkers; ///< workers without long-running tasks, ordered by the
                                                ///< estimated time until they are empty
    std::uint64_t arrivedJobs = 0; ///< jobs of arrivedWork; 0 also if an earlier build reports the demand
};

enum class AppendResult {
    Stored,
    NotStored, ///< and will never be stored
    Fenced, ///< a newer owner writes to the shard
};

/// A worker as listed by the platform.
struct WorkerInfo {
    std::string id;
    std::string service;
    std::string address; ///< "IP:port"
    std::string availabilityZone;
    std::vector<std::string> labels;
    std::string rack;
    std::string machine; ///< ID; empty: unknown
    Resources capacity;
    bool isDraining = false;
    Milliseconds drainTimeLeft{}; ///< while draining: the minimum time left until the worker ends
    std::int64_t startTime = 0; ///< wall time of its start, ms; 0: unknown

    bool operator==(const WorkerInfo &) const = default;
};

} // namespace Jobs
