#pragma once

#include "jobspec.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Jobs
{

/// An amount that no quota reaches.
inline constexpr Resources Unlimited{std::numeric_limits<std::int64_t>::max(),
                                     std::numeric_limits<std::int64_t>::max(),
                                     std::numeric_limits<std::int64_t>::max()};

/// What the jobs of a workspace use on one shard, and what they could use at once with a larger limit.
struct QuotaUse {
    Resources running; ///< of all runs that are not known to have ended
    Resources blocked; ///< of waiting tasks that only the limit kept from being assigned
    Resources next; ///< what the first of them to start needs: one task, or a whole gang
    Resources largestTask; ///< largest one so far, running or blocked

    bool operator==(const QuotaUse &) const = default;
};

/// What a workspace may have running on a shard.
struct QuotaLimit {
    Resources amount;
    /// Up to this amount one task, or one gang, may start beyond `amount` if what runs is within that.
    Resources withOneTask;

    bool operator==(const QuotaLimit &) const = default;
};

/// Accounts for the quotas of the workspaces on one shard. Without limits no task of a workspace may start;
/// once there are limits, a workspace without one is not limited. Tasks without a workspace never are.
class QuotaUsage
{
public:
    using Limits = std::map<std::string, QuotaLimit, std::less<>>;

    /// Returns whether the limits have changed.
    bool setLimits(Limits limits);

    /// Whether limits have been set.
    bool hasLimits() const;
    /// What the workspace may have running; nullopt if that is not known or not limited.
    std::optional<QuotaLimit> limitOf(std::string_view workspace) const;

    void add(std::string_view workspace, const Resources &size);
    void remove(std::string_view workspace, const Resources &size);

    /// Whether what is assigned may be started.
    bool isWithinLimit(std::string_view workspace) const;
    /// Whether the tasks of `size` may start in addition to those that are running.
    bool allows(std::string_view workspace, const Resources &size, std::uint32_t tasks = 1) const;

    /// Forgets the blocked tasks. To be called before each placement round.
    void startRound();
    /// Records that the limit keeps `tasks` tasks from starting, of which `atOnce` start together. The rest
    /// of the round need not look for workers for the workspace, see isBlocked().
    void
    block(std::string_view workspace, const Resources &size, std::uint32_t tasks, std::uint32_t atOnce = 1);
    bool isBlocked(std::string_view workspace) const;

    bool hasBlocked() const;
    QuotaUse of(std::string_view workspace) const;
    const std::map<std::string, QuotaUse, std::less<>> &byWorkspace() const;

private:
    std::optional<Limits> m_limits;
    std::map<std::string, QuotaUse, std::less<>> m_byWorkspace;
};

} // namespace Jobs
