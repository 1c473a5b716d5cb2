#pragma once

#include <jobs/quotaledger.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Three ways to divide quotas among the owners of shards that share nothing but a store. Each is given the
/// state of its shard at every step, and returns how much a workspace may have running there. Only the amount
/// of processor cores is played.
namespace Schemes
{

using Milliseconds = std::int64_t;

/// What a scheme has sent to the store or to other members.
struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

struct Step {
    Milliseconds now = 0;
    std::size_t shard = 0;
    std::int64_t quota = 0;
    const std::vector<Jobs::QuotaUse> &uses; ///< by workspace
    bool hasStore = true;
};

/// Naive twin: each shard may use the same part.
class EqualParts
{
public:
    EqualParts(std::size_t shards, std::size_t)
        : m_shards(static_cast<std::int64_t>(shards))
    {
    }

    void step(const Step &, Traffic &)
    {
    }

    std::int64_t limit(const Step &step, std::size_t) const
    {
        return step.quota / m_shards;
    }

private:
    std::int64_t m_shards;
};

/// Each owner reports what runs on its shard, and starts what is left of the quota, less a reserve that grows
/// with the age of the reports of the others.
class Reports
{
public:
    Reports(std::size_t shards, std::size_t workspaces)
        : m_reports(shards, std::vector<Report>(shards, Report{0, std::vector<std::int64_t>(workspaces)}))
        , m_sentAt(shards)
        , m_shards(shards)
    {
    }

    void step(const Step &step, Traffic &traffic)
    {
        if (!step.hasStore || step.now - m_sentAt[step.shard] < Interval) {
            return;
        }
        m_sentAt[step.shard] = step.now;
        Report report{step.now, {}};
        for (const Jobs::QuotaUse &it : step.uses) {
            report.running.push_back(it.running.milliCores);
        }
        for (std::size_t other = 0; other < m_shards; ++other) {
            m_reports[other][step.shard] = report;
        }
        traffic.messages += m_shards - 1;
        traffic.bytes += (m_shards - 1) * step.uses.size() * BytesPerWorkspace;
    }

    std::int64_t limit(const Step &step, std::size_t workspace) const
    {
        std::int64_t others = 0;
        double reserve = 0;
        for (std::size_t n = 0; n < m_shards; ++n) {
            if (n != step.shard) {
                const Report &report = m_reports[step.shard][n];
                others += report.running[workspace];
                const double age = std::min(1.0, double(step.now - report.sentAt) / double(FullReserveAge));
                reserve += age * double(step.quota) / double(m_shards);
            }
        }
        return step.quota - others - static_cast<std::int64_t>(reserve);
    }

private:
    static constexpr Milliseconds Interval = 100;
    static constexpr Milliseconds FullReserveAge = 1000;
    static constexpr std::uint64_t BytesPerWorkspace = 24;

    struct Report {
        Milliseconds sentAt = 0;
        std::vector<std::int64_t> running;
    };

    std::vector<std::vector<Report>> m_reports; ///< by receiver, then by sender
    std::vector<Milliseconds> m_sentAt;
    std::size_t m_shards;
};

/// Allocations in a ledger that is changed by conditional appends, see Jobs::QuotaLedger.
class Ledger
{
public:
    Ledger(std::size_t shards, std::size_t workspaces)
        : m_owners(shards)
        , m_workspaces(workspaces)
    {
    }

    void step(const Step &step, Traffic &traffic)
    {
        Owner &owner = m_owners[step.shard];
        if (!step.hasStore) {
            return;
        }
        if (owner.appendAt && step.now >= owner.arrivesAt) {
            if (*owner.appendAt == m_log.size()) {
                for (const Jobs::QuotaLedger::Change &it : owner.changes) {
                    m_log.push_back(it.record);
                }
                owner.nextLowering = step.now + LowerInterval;
            }
            owner.appendAt.reset();
            owner.readableAt = step.now + OneWay;
        }
        if (step.now >= owner.readableAt && owner.read < m_log.size()) {
            for (; owner.read < m_log.size(); ++owner.read) {
                traffic.bytes += m_log[owner.read].key.size() + m_log[owner.read].value.size();
                owner.ledger.load(m_log[owner.read].key, m_log[owner.read].value);
            }
            ++traffic.messages;
            owner.readableAt = step.now + OneWay;
        }
        if (owner.appendAt || owner.read < m_log.size()) {
            return;
        }
        const bool mayShrink = step.now >= owner.shrinkAt;
        owner.changes.clear();
        bool isUrgent = false;
        for (std::size_t n = 0; n < m_workspaces; ++n) {
            auto change = owner.ledger.change(
                static_cast<Jobs::ShardNumber>(step.shard), quota(step, n), step.uses[n], mayShrink);
            if (change) {
                isUrgent = isUrgent || step.uses[n].blocked != Jobs::Resources{};
                traffic.bytes += change->record.key.size() + change->record.value.size();
                owner.changes.push_back(std::move(*change));
            }
        }
        if (owner.changes.empty()
            || step.now < (isUrgent ? owner.nextAppend : std::max(owner.nextAppend, owner.nextLowering))) {
            return;
        }
        owner.shrinkAt = mayShrink ? step.now + ShrinkInterval : owner.shrinkAt;
        owner.nextAppend = step.now
            + std::uniform_int_distribution<Milliseconds>(MinAppendInterval, MaxAppendInterval)(m_random);
        owner.appendAt = m_log.size();
        owner.arrivesAt = step.now + OneWay;
        ++traffic.messages;
    }

    std::int64_t limit(const Step &step, std::size_t workspace) const
    {
        const Owner &owner = m_owners[step.shard];
        std::int64_t limit = owner.ledger
                                 .limit(static_cast<Jobs::ShardNumber>(step.shard),
                                        quota(step, workspace),
                                        step.uses[workspace])
                                 .withOneTask.milliCores;
        if (owner.appendAt) {
            // A lower amount may already be in the ledger.
            const std::string key = std::to_string(step.shard) + "/" + std::to_string(workspace);
            for (const Jobs::QuotaLedger::Change &it : owner.changes) {
                limit = it.record.key == key ? std::min(limit, it.allocated.milliCores) : limit;
            }
        }
        return limit;
    }

private:
    static constexpr Milliseconds OneWay = 5;
    static constexpr Milliseconds MinAppendInterval = 10;
    static constexpr Milliseconds MaxAppendInterval = 40;
    static constexpr Milliseconds LowerInterval = 100;
    static constexpr Milliseconds ShrinkInterval = 1000;

    struct Owner {
        Jobs::QuotaLedger ledger;
        std::size_t read = 0; ///< records of the log that have been read
        std::optional<std::size_t> appendAt; ///< position of the append under way
        std::vector<Jobs::QuotaLedger::Change> changes; ///< that the append contains
        Milliseconds arrivesAt = 0;
        Milliseconds readableAt = 0;
        Milliseconds shrinkAt = 0;
        Milliseconds nextLowering = 0;
        Milliseconds nextAppend = 0;
    };

    static Jobs::WorkspaceQuota quota(const Step &step, std::size_t workspace)
    {
        return {std::to_string(workspace), {step.quota, 0, 0}};
    }

    std::vector<Owner> m_owners;
    std::vector<Jobs::Record> m_log;
    std::size_t m_workspaces;
    std::minstd_rand m_random;
};

} // namespace Schemes
