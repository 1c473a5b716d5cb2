#pragma once

#include "quotausage.h"
#include "shardcommands.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Jobs
{

/// A workspace's quota on all workers. An amount of 0 is not limited.
struct WorkspaceQuota {
    std::string workspace;
    Resources quota;

    bool operator==(const WorkspaceQuota &) const = default;
};

/// How the quotas of workspaces are allocated to shards. The ledger is a topic of the store that all owners
/// read. An owner changes the allocations of its shard by an append that takes effect only if it has read all
/// records before it, so the sum of the allocations never grows beyond the quota, whatever is lost, delayed
/// or restarted. An allocation belongs to the shard rather than to its owner, and covers the shard's runs.
///
/// Answers a load whose centre moves between shards within a second while each workspace has room to spare:
/// allocations are generous as long as little of the quota is allocated, unused ones are given back when
/// another shard asks, and shards that ask at the same time end with equal parts. Whatever the sizes of its
/// tasks, a workspace that uses less than half of its quota has its next task started.
class QuotaLedger
{
public:
    /// Applies a record of the topic. An empty value deletes the key.
    void load(std::string_view key, std::string_view value);

    /// Whether the owner with this epoch may use the shard's allocations: the ledger names it as the owner.
    bool isClaimed(ShardNumber shard, Epoch epoch) const;
    /// Whether the ledger names a later owner of the shard.
    bool hasNewerOwner(ShardNumber shard, Epoch epoch) const;
    /// The record by which a new owner takes over the allocations of its shard.
    static Record claim(ShardNumber shard, Epoch epoch);

    /// What the workspace may have running on the shard.
    QuotaLimit limit(ShardNumber shard, const WorkspaceQuota &quota, const QuotaUse &use) const;

    /// A change of a shard's allocation, to be appended to the topic.
    struct Change {
        Resources allocated;
        Resources wanted; ///< in addition, if the quota had room
        Record record;
    };

    /// The change of the shard's allocation to what it needs; nullopt if there is nothing to change. Only
    /// with `mayShrink` is an allocation lowered that no other shard asks for.
    std::optional<Change>
    change(ShardNumber shard, const WorkspaceQuota &quota, const QuotaUse &use, bool mayShrink) const;

    Resources allocation(ShardNumber shard, std::string_view workspace) const;

private:
    struct Entry {
        Resources allocated;
        Resources wanted; ///< in addition, if the quota had room
        bool isOversized = false; ///< allocated for a task that is larger than the rest of the quota
    };
    struct OtherShards {
        Resources allocated;
        Resources settled; ///< allocated to shards that want no more
        std::int64_t waiting = 0; ///< number of shards that want more
        std::int64_t count = 0; ///< number of shards that have or want a part
    };

    const Entry *find(ShardNumber shard, std::string_view workspace) const;
    OtherShards otherShards(ShardNumber shard, std::string_view workspace) const;
    /// Whether the workspace uses so little of its quota that its next task has to start.
    static bool isLightlyUsed(const Resources &quota, const Resources &used);
    /// Whether the next task can't start within the quota, although that is lightly used. Such a task may
    /// start beyond it, as it would never start otherwise.
    static bool isOversized(const Resources &quota, const Resources &used, const Resources &next);
    /// What the shard may have while others wait; the quota if none does.
    static Resources share(const WorkspaceQuota &quota, const OtherShards &others, const QuotaUse &use);

    std::map<ShardNumber, Epoch> m_owners;
    std::map<std::string, std::map<ShardNumber, Entry>, std::less<>> m_workspaces;
};

} // namespace Jobs
