#include "quotaledger.h"

#include "jsonfields.h"

#include <base/logline.h>
#include <ini/values.h>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <exception>

namespace Jobs
{

namespace
{

namespace json = boost::json;

// A shard that gets more than it needs takes this part of what is not allocated yet, so that most growth of
// its load needs no append.
constexpr std::int64_t SpareDivisor = 8;

// Changes by less than a task, and less than this part of a shard's equal part, are not worth an append. What
// all shards keep of a quota without using it is at most the same part of the quota.
constexpr std::int64_t StepDivisor = 8;

// An allocation that is not asked for shrinks once the shard needs less than this part of it.
constexpr std::int64_t UnusedDivisor = 2;

constexpr std::array Kinds{&Resources::milliCores, &Resources::memory, &Resources::accelerators};

Resources decodeAmounts(const json::value &from)
{
    return {from.at(0).to_number<std::int64_t>(),
            from.at(1).to_number<std::int64_t>(),
            from.at(2).to_number<std::int64_t>()};
}

json::array encodeAmounts(const Resources &from)
{
    return {from.milliCores, from.memory, from.accelerators};
}

std::string shardKey(ShardNumber shard)
{
    return std::to_string(shard);
}

// A workspace that uses less than this part of its quota may have its next task beyond the parts of its
// shards. A task has to start soon under half of the quota; the rest covers what shards keep without using
// it.
constexpr std::int64_t LightUse = 5;
constexpr std::int64_t LightUseDivisor = 8;

/// Whether any limited amount is above its quota.
bool exceeds(const Resources &used, const Resources &quota)
{
    return std::any_of(Kinds.begin(), Kinds.end(), [&](const auto kind) {
        return quota.*kind > 0 && used.*kind > quota.*kind;
    });
}

json::value parse(std::string_view text)
{
    return json::parse(json::string_view(text.data(), text.size()));
}

} // namespace

void QuotaLedger::load(std::string_view key, std::string_view value)
{
    const auto slash = key.find('/');
    const auto number = Ini::toInteger(key.substr(0, slash));
    try {
        if (!number) {
            throw std::invalid_argument("the key names no shard");
        }
        const auto shard = static_cast<ShardNumber>(*number);
        if (slash == std::string_view::npos) {
            m_owners[shard] = value.empty() ? 0 : parse(value).to_number<Epoch>();
            return;
        }
        auto &entries = m_workspaces[std::string(key.substr(slash + 1))];
        if (value.empty()) {
            entries.erase(shard);
            return;
        }
        const json::value parsed = parse(value);
        entries[shard] = {
            decodeAmounts(parsed.at(0)), decodeAmounts(parsed.at(1)), parsed.as_array().size() > 2};
    } catch (const std::exception &error) {
        Base::LogLine(Base::LogLevel::Error, "record-unreadable")
            .with("key", key)
            .with("error", error.what());
    }
}

bool QuotaLedger::isClaimed(ShardNumber shard, Epoch epoch) const
{
    const auto it = m_owners.find(shard);
    return it != m_owners.end() && it->second == epoch;
}

bool QuotaLedger::hasNewerOwner(ShardNumber shard, Epoch epoch) const
{
    const auto it = m_owners.find(shard);
    return it != m_owners.end() && it->second > epoch;
}

Record QuotaLedger::claim(ShardNumber shard, Epoch epoch)
{
    return {shardKey(shard), std::to_string(epoch)};
}

Resources QuotaLedger::allocation(ShardNumber shard, std::string_view workspace) const
{
    const Entry *entry = find(shard, workspace);
    return entry ? entry->allocated : Resources{};
}

const QuotaLedger::Entry *QuotaLedger::find(ShardNumber shard, std::string_view workspace) const
{
    const auto it = m_workspaces.find(workspace);
    if (it == m_workspaces.end()) {
        return nullptr;
    }
    const auto entry = it->second.find(shard);
    return entry != it->second.end() ? &entry->second : nullptr;
}

QuotaLedger::OtherShards QuotaLedger::otherShards(ShardNumber shard, std::string_view workspace) const
{
    OtherShards others;
    const auto it = m_workspaces.find(workspace);
    if (it == m_workspaces.end()) {
        return others;
    }
    for (const auto &[number, entry] : it->second) {
        if (number == shard) {
            continue;
        }
        ++others.count;
        others.allocated += entry.allocated;
        if (entry.wanted == Resources{}) {
            others.settled += entry.allocated;
        } else {
            ++others.waiting;
        }
    }
    return others;
}

bool QuotaLedger::isLightlyUsed(const Resources &quota, const Resources &used)
{
    return std::all_of(Kinds.begin(), Kinds.end(), [&](const auto kind) {
        return quota.*kind == 0 || used.*kind * LightUseDivisor < quota.*kind * LightUse;
    });
}

bool QuotaLedger::isOversized(const Resources &quota, const Resources &used, const Resources &next)
{
    Resources after = used;
    after += next;
    return isLightlyUsed(quota, used) && exceeds(after, quota);
}

// While others wait, a shard may have an equal part of what settled shards leave, so that what ends beyond it
// is theirs, or one task if that is larger than the part. A shard with little in use for its next task must
// not wait for others that do the same: while the quota is lightly used, that task may start beyond the part.
Resources QuotaLedger::share(const WorkspaceQuota &quota, const OtherShards &others, const QuotaUse &use)
{
    Resources used = others.allocated;
    used += use.running;
    const bool isLight = isLightlyUsed(quota.quota, used);
    Resources share;
    for (const auto kind : Kinds) {
        const std::int64_t all = quota.quota.*kind;
        const std::int64_t part =
            std::max<std::int64_t>(0, all - others.settled.*kind) / (others.waiting + 1);
        const std::int64_t next = use.next.*kind + (isLight ? use.running.*kind : 0);
        share.*kind = others.waiting > 0 ? std::max({part, next, use.running.*kind}) : all;
    }
    return share;
}

// An allocation beyond the quota is for one task.
QuotaLimit QuotaLedger::limit(ShardNumber shard, const WorkspaceQuota &quota, const QuotaUse &use) const
{
    const Entry *entry = find(shard, quota.workspace);
    const Resources own = entry ? entry->allocated : Resources{};
    const OtherShards others = otherShards(shard, quota.workspace);
    const Resources most = share(quota, others, use);
    QuotaLimit limit{Unlimited, Unlimited};
    for (const auto kind : Kinds) {
        const std::int64_t all = quota.quota.*kind;
        if (all == 0) {
            continue;
        }
        limit.amount.*kind = std::min({own.*kind, all - others.allocated.*kind, most.*kind});
        limit.withOneTask.*kind = entry && entry->isOversized ? own.*kind : limit.amount.*kind;
    }
    return limit;
}

std::optional<QuotaLedger::Change>
QuotaLedger::change(ShardNumber shard, const WorkspaceQuota &quota, const QuotaUse &use, bool mayShrink) const
{
    const OtherShards others = otherShards(shard, quota.workspace);
    const Resources own = allocation(shard, quota.workspace);
    Resources used = others.allocated;
    used += use.running;
    const bool isAlone = isOversized(quota.quota, used, use.next);
    const bool isBlocked = use.next != Resources{};
    const Resources most = share(quota, others, use);
    Resources targets;
    bool fitsNext = true; // within the targets
    bool hasNext = true; // within what is allocated
    for (const auto kind : Kinds) {
        const std::int64_t all = quota.quota.*kind;
        if (all == 0) {
            continue;
        }
        const std::int64_t left = std::max<std::int64_t>(0, all - others.allocated.*kind);
        std::int64_t target = std::min({use.running.*kind + use.blocked.*kind, left, most.*kind});
        if (others.waiting == 0) {
            target += (left - target) / SpareDivisor;
        }
        targets.*kind = target;
        fitsNext = fitsNext && target >= use.running.*kind + use.next.*kind;
        hasNext = hasNext && own.*kind >= use.running.*kind + use.next.*kind;
    }
    Resources allocated;
    Resources wanted;
    for (const auto kind : Kinds) {
        const std::int64_t all = quota.quota.*kind;
        if (all == 0) {
            continue;
        }
        const std::int64_t running = use.running.*kind;
        const std::int64_t need = running + use.blocked.*kind;
        // What is too small for the next task is left to other shards.
        const std::int64_t useful = fitsNext ? targets.*kind : running;
        const std::int64_t target = std::max(useful, isAlone ? running + use.next.*kind : running);
        const std::int64_t now = own.*kind;
        const bool isAsked = others.waiting > 0 || others.allocated.*kind + now > all;
        const std::int64_t step = std::max<std::int64_t>(
            1, std::min(use.largestTask.*kind, all / (others.count + 1) / StepDivisor));
        const bool isLowered =
            (isAsked && now - target >= step) || (mayShrink && target * UnusedDivisor < now);
        const bool isRaised = (isBlocked && target - now >= (hasNext ? step : 1)) || running > now;
        allocated.*kind = isLowered || isRaised ? target : now;
        wanted.*kind = std::max<std::int64_t>(0, need - allocated.*kind);
    }
    const Entry *entry = find(shard, quota.workspace);
    const bool wasWaiting = entry && entry->wanted != Resources{};
    const bool wasOversized = entry && entry->isOversized;
    // What has been assigned beyond the quota stays allowed until it ends.
    const bool isOversizedUse = isAlone || (wasOversized && exceeds(used, quota.quota));
    const bool needsMark = isOversizedUse && !wasOversized;
    if (allocated == own && wasWaiting == (wanted != Resources{}) && !needsMark) {
        return std::nullopt;
    }
    const std::string key = shardKey(shard) + "/" + quota.workspace;
    if (allocated == Resources{} && wanted == Resources{}) {
        return Change{allocated, wanted, {key, {}}};
    }
    json::array value{encodeAmounts(allocated), encodeAmounts(wanted)};
    if (isOversizedUse) {
        value.emplace_back("oversized");
    }
    return Change{allocated, wanted, {key, json::serialize(value)}};
}

} // namespace Jobs
