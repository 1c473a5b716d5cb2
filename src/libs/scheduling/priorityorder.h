#pragma once

#include "schedulerlimits.h"

#include <array>
#include <cstddef>
#include <optional>

namespace Scheduling
{

/// The requests that wait at one priority of a pool.
struct WaitingWork {
    bool isWaiting = false;
    Base::Duration cost{}; ///< expected slot time of the next request
};

using WaitingByPriority = std::array<WaitingWork, PriorityCount>;

/// Decides which priority gets the next slot of a pool. That is the highest one with waiting requests, but
/// lower priorities are guaranteed a share of the slot time while they wait.
class PriorityOrder
{
public:
    explicit PriorityOrder(const std::array<double, PriorityCount> &guaranteedShare);

    /// Returns the index of the priority to serve next, or nothing if no request waits.
    std::optional<std::size_t> next(const WaitingByPriority &waiting) const;

    /// Records that a request of the priority was dispatched with an expected slot time of `cost`.
    void addDispatch(std::size_t priority, Base::Duration cost, const WaitingByPriority &waiting);

private:
    std::array<double, PriorityCount> m_guaranteedShare;
    std::array<double, PriorityCount> m_credit{}; // microseconds of slot time
};

} // namespace Scheduling
