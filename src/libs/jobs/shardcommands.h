#pragma once

#include "job.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Jobs
{

/// Rises from owner to owner of a shard, and with each life of a worker under one owner; workers refuse lower
/// ones.
using OrderToken = std::uint64_t;

/// Of an owner; the store refuses the appends of lower ones.
using Epoch = std::uint64_t;

/// Of a shard; a service has one, or one for each of its cells.
using ShardNumber = std::uint32_t;

/// A record of the store; an empty value drops the key.
struct Record {
    std::string key;
    std::string value;
};

/// To be stored, all or nothing, after the batch before.
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
};

struct StopRun {
    std::string worker;
    OrderToken token = 0;
    TaskId task;
    std::uint32_t attempt = 0;
};

/// Renews the lease of everything on the worker and asks what runs and has ended there.
struct RenewLease {
    std::string worker;
    OrderToken token = 0;
    std::optional<std::int64_t> leaseEnd; ///< on the worker's clock, ms; nothing: only asks
    std::uint64_t ackCursor = 0; ///< the worker may forget ends up to here
    Milliseconds wait{}; ///< the worker answers as soon as a run ends, or after this
};

/// Limits the share of its cores that a run gets.
struct PaceRun {
    std::string worker;
    OrderToken token = 0;
    TaskId task;
    std::uint32_t attempt = 0;
    int percent = 100;
};

/// Asks the queue's policy which workers may run a stage.
struct AskAdvice {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t stage = 0;
    std::vector<std::string> workers;
    Milliseconds expected{}; ///< that the service takes for so many workers
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
    Refused, ///< not stored and never run
    Hopeless, ///< refused, and will be refused again
    Unknown, ///< whether it is stored isn't known yet
    NoSuchJob,
    Elsewhere, ///< another shard of the service has the job, or is to have it
};

struct SendReply {
    ReplyId reply = 0;
    Answer answer = Answer::Unknown;
    Milliseconds retryAfter{};
    ShardNumber elsewhere = 0; ///< of Elsewhere
};

/// Asks whether another shard still has the job that was sent there.
struct AskElsewhere {
    std::string job;
    ShardNumber shard = 0;
};

/// Another owner has taken the shard; this one has to end.
struct GiveUpShard {
    std::string reason;
};

using Command = std::variant<AppendBatch,
                             StartRun,
                             StopRun,
                             RenewLease,
                             PaceRun,
                             AskAdvice,
                             SendReply,
                             AskElsewhere,
                             GiveUpShard>;

/// How a worker answered an order.
enum class OrderResult {
    Done,
    Fenced, ///< a higher token has been there
    Superseded, ///< a run of that number or a higher one has been there
    TooLate, ///< the lease would be over already
    NoRoom,
    NoTicket,
    Unhealthy, ///< nothing was done; the worker is not well
    OtherInstance, ///< another worker has the address
    Rejected, ///< the order itself is wrong
    NotSent, ///< the worker can't be reached; nothing was done
    NoAnswer, ///< may have been carried out, or may be later
};

/// For logs.
std::string_view toString(OrderResult result);

struct ListedRun {
    TaskId task;
    std::uint32_t attempt = 0;
    std::string checkpoint;
    int percent = 0;
    std::int64_t load =
        0; ///< tail latency in ms of a long-running task with a target, else thousandths of a core
};

enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

/// For logs.
std::string_view toString(RunEnd end);

struct ListedEnd {
    std::uint64_t number = 0; ///< rises within one life of the worker
    TaskId task;
    std::uint32_t attempt = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

/// A worker's answer to RenewLease.
struct RunList {
    std::int64_t clock = 0; ///< of the worker, ms
    std::int64_t born = 0; ///< wall time of the worker's start, ms; 0 when it doesn't say
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

/// What one service's jobs need of its workers.
struct ServiceDemand {
    std::string service;
    std::int64_t milliCores = 0; ///< of tasks that run or could run now and help their job meet its objective
    std::int64_t lateMilliCores = 0; ///< of other tasks that run or could run now
    std::int64_t longRunningMilliCores = 0; ///< of long-running ones among them
    double arrivedWork = 0; ///< core-seconds of all jobs accepted by this owner, without long-running ones
    std::uint32_t minWorkers = 0; ///< so that long-running tasks can stay apart as their stages ask
    std::uint32_t emptyWorkers = 0; ///< that tasks need which fit on none, though most of the room is free
    std::vector<std::string>
        releasableWorkers; ///< workers without long-running tasks, the soonest empty first
};

enum class AppendResult {
    Stored,
    NotStored, ///< and never will be
    Fenced, ///< a newer owner writes
};

/// A worker as the platform lists it.
struct WorkerInfo {
    std::string id;
    std::string service;
    std::string address; ///< "IP:port"
    std::string availabilityZone;
    std::vector<std::string> labels;
    std::string rack;
    Resources capacity;
    bool isDraining = false;
    Milliseconds leavesIn{}; ///< while it drains: the least time that is left
    std::int64_t born = 0; ///< wall time of its start, ms; 0 when it isn't said

    bool operator==(const WorkerInfo &) const = default;
};

} // namespace Jobs
