#pragma once

#include "ownership.h"

#include <jobs/shardcommands.h>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace JobService
{

enum class StoreStatus {
    Done,
    NotDone, ///< and it will never take effect
    Unknown, ///< may have taken effect, or may do so later
    Fenced, ///< a newer owner has written
    OutOfSequence,
    Full,
};

struct StoreAnswer {
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t expectedSequence = 0; ///< for OutOfSequence
};

struct RunAnswer {
    Jobs::OrderResult result = Jobs::OrderResult::NoAnswer;
    std::int64_t clock = 0; ///< clock of the worker in ms
};

struct ShardOwner {
    ShardNumber shard = 0;
    std::string member;
};

/// `isLast` is true if nothing has been appended to the partition after the record.
using RecordSink = std::function<void(std::string_view key, std::string_view value, bool isLast)>;
using StoreCallback = std::function<void(StoreAnswer)>;
using RunCallback = std::function<void(RunAnswer)>;
using ListCallback = std::function<void(Jobs::OrderResult, const Jobs::RunList &)>;
using GrantCallback = std::function<void(std::optional<MembershipGrant>)>;
using OwnersCallback = std::function<void(std::optional<std::vector<ShardOwner>>)>;
using AdviceCallback = std::function<void(std::optional<Jobs::AdviceAnswer>)>;

/// Requirements of ShardHost on the platform. Each callback is called exactly once, after the call has
/// returned.
template<typename T>
concept ShardPlatform = requires(T &platform,
                                 ShardNumber shard,
                                 Jobs::Epoch epoch,
                                 std::uint64_t number,
                                 std::span<const Jobs::Record> records,
                                 const Jobs::WorkerInfo &worker,
                                 const Jobs::StartRun &start,
                                 const Jobs::StopRun &stop,
                                 const Jobs::RenewLease &renew,
                                 const Jobs::PaceRun &pace,
                                 const Jobs::AdviceQuery &question,
                                 AdviceCallback advised,
                                 RecordSink sink,
                                 StoreCallback stored,
                                 RunCallback answered,
                                 ListCallback listed,
                                 const MembershipRenewal &renewal,
                                 GrantCallback granted,
                                 const std::string &member,
                                 std::function<void()> done)
{
    // Fences earlier owners, so that their writes are rejected, then passes the newest record of each key to
    // `sink`.
    platform.loadShard(shard, epoch, sink, stored);
    platform.append(shard, epoch, number, records, stored);
    platform.startRun(worker, start, answered);
    platform.stopRun(worker, stop, answered);
    platform.renewLease(worker, renew, listed);
    platform.paceRun(worker, pace, answered);
    platform.queryAdvice(question, advised);
    platform.renewMembership(renewal, granted);
    platform.leaveMembership(done);
    // Ends the membership of another member, whose process has ended.
    platform.endMembership(member, done);
};

} // namespace JobService
