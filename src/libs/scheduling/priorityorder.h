#pragma once

#include "schedulerlimits.h"

#include <array>
#include <cstddef>
#include <optional>

namespace Scheduling
{

/// What waits at one priority of a pool.
struct WaitingWork {
    bool isWaiting = false;
    Base::Duration cost{}; ///< slot time that the next request is expected to take
};

using WaitingByPriority = std::array<WaitingWork, PriorityCount>;

/// Which priority gets the next slot of a pool: the highest that waits, except that lower ones earn a share
/// of the slot time while they wait.
class PriorityOrder
{
public:
    explicit PriorityOrder(const std::array<double, PriorityCount> &guaranteedShare);

    /// The index of the priority whose turn it is; nothing when none waits.
    std::optional<std::size_t> next(const WaitingByPriority &waiting) const;

    /// The priority got a slot for an expected `cost`.
    void addDispatch(std::size_t priority, Base::Duration cost, const WaitingByPriority &waiting);

private:
    std::array<double, PriorityCount> m_guaranteedShare;
    std::array<double, PriorityCount> m_credit{}; // microseconds of slot time
};

} // namespace Scheduling
