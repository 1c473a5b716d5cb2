#pragma once

#include "ports.h"
#include "recordfollower.h"
#include "shardhost.h"

#include <base/logline.h>
#include <base/oneshottimer.h>
#include <jobs/quotaledger.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace JobService
{

/// Keeps the allocations of this member's shards in the quota ledger, and sets the limits of the shards by
/// them. Appends one change at a time, at the end of the topic as read so far; the store rejects it if
/// another owner has appended in the meantime.
template<ShardPlatform Platform>
class QuotaAllocator
{
public:
    /// `seed` differs between members, so that they don't keep appending at the same time.
    QuotaAllocator(Platform &platform,
                   Base::TimerService &timers,
                   std::string topic,
                   ShardHost<Platform> &host,
                   std::uint32_t seed)
        : m_platform(platform)
        , m_timers(timers)
        , m_topic(std::move(topic))
        , m_host(host)
        , m_follower(
              platform,
              timers,
              m_topic,
              {},
              [this](const std::string &key, const std::string *value) {
                  m_ledger.load(key, value ? std::string_view(*value) : std::string_view());
              },
              [this] {
                  m_isRead = true;
                  scheduleUpdate({});
              })
        , m_timer(timers)
        , m_random(seed)
    {
    }

    void start()
    {
        m_host.setQuotaCallback([this] { scheduleUpdate({}); });
        m_timers.subscribeEvery(ReviewInterval, [this] { scheduleUpdate({}); });
        m_timers.subscribeEvery(UnclaimedReportInterval, [this] { reportUnclaimedShards(); });
    }

    /// Sets the quotas of the current configuration. Workspaces without one are not limited.
    void setQuotas(std::vector<Jobs::WorkspaceQuota> quotas)
    {
        m_quotas = std::move(quotas);
        scheduleUpdate({});
    }

    /// What a workspace uses of its quota on the shards of this member.
    struct Share {
        Jobs::WorkspaceQuota quota;
        Jobs::QuotaUse use;
        Jobs::Resources allocated;
    };

    /// For the metrics.
    std::vector<Share> shares() const
    {
        std::vector<Share> shares;
        for (const Jobs::WorkspaceQuota &it : m_quotas.value_or(std::vector<Jobs::WorkspaceQuota>{})) {
            Share share{it, {}, {}};
            m_host.forEachServingShard([&](ShardNumber number, const Jobs::Shard &shard) {
                const Jobs::QuotaUse use = shard.quotaUsage().of(it.workspace);
                share.use.running += use.running;
                share.use.blocked += use.blocked;
                share.allocated += m_ledger.allocation(number, it.workspace);
            });
            shares.push_back(std::move(share));
        }
        return shares;
    }

    const RecordFollower<Platform> &follower() const
    {
        return m_follower;
    }

private:
    using Allocation = std::pair<ShardNumber, std::string>; ///< of a shard to a workspace
    using Changes = std::map<Allocation, Jobs::QuotaLedger::Change>;

    static constexpr Base::Duration ReviewInterval = std::chrono::milliseconds{200};
    // Unused allocations that no other shard asks for are reduced at this interval.
    static constexpr Base::Duration ShrinkInterval = std::chrono::milliseconds{1000};
    // Between two appends, at least and at most.
    static constexpr std::chrono::milliseconds MinAppendInterval{10};
    static constexpr std::chrono::milliseconds MaxAppendInterval{40};
    // Between two appends that only lower allocations.
    static constexpr Base::Duration LowerInterval = std::chrono::milliseconds{100};
    static constexpr Base::Duration RetryDelay = std::chrono::milliseconds{100};
    static constexpr Base::Duration IdlePause = std::chrono::milliseconds{1000};
    static constexpr Base::Duration UnclaimedReportInterval = std::chrono::milliseconds{1000};

    void scheduleUpdate(Base::Duration delay)
    {
        const Base::Instant due = m_timers.now() + delay;
        if (!m_due || due < *m_due) {
            m_due = due;
            m_timer.armAt(due, [this] {
                m_due.reset();
                update();
            });
        }
    }

    void update()
    {
        if (!m_quotas) {
            return;
        }
        if (m_quotas->empty()) {
            m_host.forEachServingShard(
                [this](ShardNumber number, const Jobs::Shard &) { m_host.setQuotaLimits(number, {}); });
            return;
        }
        const bool isOwner = m_host.ownsWorkers();
        m_follower.setPause(isOwner ? Base::Duration{} : IdlePause);
        if (isOwner) {
            m_follower.start();
        }
        resolveAppend();
        m_host.forEachServingShard([this](ShardNumber number, const Jobs::Shard &shard) {
            m_host.setQuotaLimits(number, limits(number, shard));
        });
        appendChanges();
    }

    // On such a shard no task of a workspace with a quota starts.
    void reportUnclaimedShards()
    {
        if (!m_quotas || m_quotas->empty()) {
            return;
        }
        std::set<ShardNumber> unclaimed;
        m_host.forEachServingShard([&](ShardNumber number, const Jobs::Shard &shard) {
            if (!m_host.hasService(number) || (m_isRead && m_ledger.isClaimed(number, shard.epoch()))) {
                return;
            }
            unclaimed.insert(number);
            if (m_unclaimedShards.count(number) > 0) {
                Base::LogLine(Base::LogLevel::Warning, "quota-unclaimed")
                    .with("shard", number)
                    .with("epoch", shard.epoch())
                    .with("ledger_read", m_isRead)
                    .with("newer_owner", m_ledger.hasNewerOwner(number, shard.epoch()))
                    .with("append_under_way", m_isAppending);
            }
        });
        m_unclaimedShards = std::move(unclaimed);
    }

    // Once any record follows the position of an append, the append has either been read or will never be
    // carried out.
    void resolveAppend()
    {
        if (m_follower.end() && *m_follower.end() > m_appendedAt) {
            m_unresolved.clear();
        }
    }

    bool mayAppend() const
    {
        return m_isRead && !m_isAppending && m_follower.end()
            && (!m_isStored || *m_follower.end() > m_appendedAt);
    }

    // An append without answer may still lower an allocation, so the lower one of both counts.
    Jobs::QuotaUsage::Limits limits(ShardNumber number, const Jobs::Shard &shard) const
    {
        Jobs::QuotaUsage::Limits limits;
        const bool isClaimed = m_isRead && m_ledger.isClaimed(number, shard.epoch());
        for (const Jobs::WorkspaceQuota &it : *m_quotas) {
            Jobs::QuotaLimit &limit = limits[it.workspace];
            if (!isClaimed) {
                continue;
            }
            limit = m_ledger.limit(number, it, shard.quotaUsage().of(it.workspace));
            const auto unresolved = m_unresolved.find({number, it.workspace});
            if (unresolved != m_unresolved.end()) {
                limit.amount = lowerOf(limit.amount, unresolved->second, it.quota);
                limit.withOneTask = lowerOf(limit.withOneTask, unresolved->second, it.quota);
            }
        }
        return limits;
    }

    static Jobs::Resources
    lowerOf(const Jobs::Resources &limit, const Jobs::Resources &allocated, const Jobs::Resources &quota)
    {
        const auto lower = [](std::int64_t a, std::int64_t b, std::int64_t all) {
            return all == 0 ? a : std::min(a, b);
        };
        return {lower(limit.milliCores, allocated.milliCores, quota.milliCores),
                lower(limit.memory, allocated.memory, quota.memory),
                lower(limit.accelerators, allocated.accelerators, quota.accelerators)};
    }

    // An append that was not stored, or had no answer, limits its shards until a record follows its position.
    // If there is nothing else to append, that is a claim that the ledger already has.
    void appendChanges()
    {
        if (!mayAppend()) {
            return;
        }
        const Base::Instant now = m_timers.now();
        const bool mayShrink = now >= m_nextShrink;
        bool isUrgent = false;
        std::vector<Jobs::Record> records;
        Changes changes;
        std::optional<Jobs::Record> repeatedClaim;
        std::optional<Jobs::QuotaLedger> changed; // with the changes so far, as all take effect together
        m_host.forEachServingShard([&](ShardNumber number, const Jobs::Shard &shard) {
            if (!m_host.hasService(number) || m_ledger.hasNewerOwner(number, shard.epoch())) {
                return;
            }
            repeatedClaim = Jobs::QuotaLedger::claim(number, shard.epoch());
            if (!m_ledger.isClaimed(number, shard.epoch())) {
                records.push_back(Jobs::QuotaLedger::claim(number, shard.epoch()));
                isUrgent = true;
                return;
            }
            for (const Jobs::WorkspaceQuota &it : *m_quotas) {
                const Jobs::QuotaUse use = shard.quotaUsage().of(it.workspace);
                const Jobs::QuotaLedger &ledger = changed ? *changed : m_ledger;
                auto change = ledger.change(number, it, use, mayShrink);
                if (!change) {
                    continue;
                }
                changed = changed ? std::move(changed) : m_ledger;
                changed->load(change->record.key, change->record.value);
                isUrgent = isUrgent || use.blocked != Jobs::Resources{};
                records.push_back(std::move(change->record));
                changes.emplace(Allocation{number, it.workspace}, std::move(*change));
            }
        });
        if (records.empty() && !m_unresolved.empty() && repeatedClaim) {
            Base::LogLine(Base::LogLevel::Info, "quota-append-settled")
                .with("at", m_appendedAt)
                .with("allocations", m_unresolved.size());
            records.push_back(std::move(*repeatedClaim));
        }
        const Base::Instant earliest = isUrgent ? m_nextAppend : std::max(m_nextAppend, m_nextLowering);
        if (!records.empty() && now < earliest) {
            scheduleUpdate(earliest - now);
            return;
        }
        if (mayShrink) {
            m_nextShrink = now + ShrinkInterval;
        }
        if (!records.empty()) {
            append(records, changes);
        }
    }

    void append(std::span<const Jobs::Record> records, const Changes &changes)
    {
        m_nextAppend = m_timers.now()
            + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(
                MinAppendInterval.count(), MaxAppendInterval.count())(m_random));
        m_appendedAt = *m_follower.end();
        m_isAppending = true;
        m_isStored = false;
        for (const auto &[key, change] : changes) {
            const auto [it, isNew] = m_unresolved.try_emplace(key, change.allocated);
            if (!isNew) {
                it->second = lowerOf(it->second, change.allocated, Jobs::Unlimited);
            }
            Base::LogLine(Base::LogLevel::Info, "quota-allocation")
                .with("shard", key.first)
                .with("workspace", key.second)
                .with("millicores", change.allocated.milliCores)
                .with("memory_mb", change.allocated.memory)
                .with("wanted_millicores", change.wanted.milliCores)
                .with("wanted_memory_mb", change.wanted.memory)
                .with("at", m_appendedAt);
        }
        m_host.forEachServingShard([this](ShardNumber number, const Jobs::Shard &shard) {
            m_host.setQuotaLimits(number, limits(number, shard));
        });
        m_platform.appendAt(m_topic, m_appendedAt, records, [this](StoreAnswer answer) {
            m_isAppending = false;
            m_isStored = answer.status == StoreStatus::Done;
            m_nextLowering = m_isStored ? m_timers.now() + LowerInterval : m_nextLowering;
            scheduleUpdate(m_isStored ? Base::Duration{} : RetryDelay);
        });
    }

    Platform &m_platform;
    Base::TimerService &m_timers;
    std::string m_topic;
    ShardHost<Platform> &m_host;
    Jobs::QuotaLedger m_ledger;
    RecordFollower<Platform> m_follower;
    Base::OneShotTimer m_timer;
    std::optional<Base::Instant> m_due;
    std::optional<std::vector<Jobs::WorkspaceQuota>> m_quotas;
    std::map<Allocation, Jobs::Resources> m_unresolved; ///< amounts of appends that have not been read back
    std::uint64_t m_appendedAt = 0; ///< position of the latest append
    std::minstd_rand m_random;
    Base::Instant m_nextAppend;
    Base::Instant m_nextLowering;
    Base::Instant m_nextShrink;
    std::set<ShardNumber> m_unclaimedShards; ///< as of the last report
    bool m_isRead = false; ///< whether the topic has been read to its end once
    bool m_isAppending = false;
    bool m_isStored = false; ///< whether the store has confirmed the latest append
};

} // namespace JobService
