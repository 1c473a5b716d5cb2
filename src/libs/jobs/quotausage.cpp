#include "quotausage.h"

#include <algorithm>
#include <utility>

namespace Jobs
{

namespace
{

// Bounds the blocked amount, as a shard does not need more at once.
constexpr std::uint32_t MaxBlockedTasks = 64;

Resources times(const Resources &size, std::uint32_t count)
{
    return {size.milliCores * count, size.memory * count, size.accelerators * count};
}

} // namespace

bool QuotaUsage::setLimits(Limits limits)
{
    if (m_limits == limits) {
        return false;
    }
    m_limits = std::move(limits);
    return true;
}

bool QuotaUsage::hasLimits() const
{
    return m_limits.has_value();
}

std::optional<QuotaLimit> QuotaUsage::limitOf(std::string_view workspace) const
{
    if (!m_limits) {
        return std::nullopt;
    }
    const auto it = m_limits->find(workspace);
    return it != m_limits->end() ? std::optional(it->second) : std::nullopt;
}

void QuotaUsage::add(std::string_view workspace, const Resources &size)
{
    if (!workspace.empty()) {
        QuotaUse &use = m_byWorkspace.try_emplace(std::string(workspace)).first->second;
        use.running += size;
        use.largestTask = larger(use.largestTask, size);
    }
}

void QuotaUsage::remove(std::string_view workspace, const Resources &size)
{
    if (!workspace.empty()) {
        m_byWorkspace.try_emplace(std::string(workspace)).first->second.running -= size;
    }
}

bool QuotaUsage::allows(std::string_view workspace, const Resources &size, std::uint32_t tasks) const
{
    if (workspace.empty()) {
        return true;
    }
    if (!m_limits) {
        return false;
    }
    const auto limit = m_limits->find(workspace);
    if (limit == m_limits->end()) {
        return true;
    }
    const Resources running = of(workspace).running;
    Resources after = times(size, tasks);
    after += running;
    return limit->second.amount.contains(after)
        || (limit->second.amount.contains(running) && limit->second.withOneTask.contains(after));
}

bool QuotaUsage::isWithinLimit(std::string_view workspace) const
{
    if (workspace.empty()) {
        return true;
    }
    const auto limit = limitOf(workspace);
    const Resources running = of(workspace).running;
    return m_limits && (!limit || limit->amount.contains(running) || limit->withOneTask.contains(running));
}

void QuotaUsage::startRound()
{
    for (auto &[workspace, use] : m_byWorkspace) {
        use.blocked = {};
        use.next = {};
    }
}

void QuotaUsage::block(std::string_view workspace,
                       const Resources &size,
                       std::uint32_t tasks,
                       std::uint32_t atOnce)
{
    QuotaUse &use = m_byWorkspace.try_emplace(std::string(workspace)).first->second;
    use.blocked += times(size, std::max(atOnce, std::min(tasks, MaxBlockedTasks)));
    use.next = use.next == Resources{} ? times(size, atOnce) : use.next;
    use.largestTask = larger(use.largestTask, size);
}

bool QuotaUsage::isBlocked(std::string_view workspace) const
{
    const auto it = m_byWorkspace.find(workspace);
    return it != m_byWorkspace.end() && it->second.blocked != Resources{};
}

bool QuotaUsage::hasBlocked() const
{
    return std::any_of(m_byWorkspace.begin(), m_byWorkspace.end(), [](const auto &it) {
        return it.second.blocked != Resources{};
    });
}

QuotaUse QuotaUsage::of(std::string_view workspace) const
{
    const auto it = m_byWorkspace.find(workspace);
    return it != m_byWorkspace.end() ? it->second : QuotaUse{};
}

const std::map<std::string, QuotaUse, std::less<>> &QuotaUsage::byWorkspace() const
{
    return m_byWorkspace;
}

} // namespace Jobs
