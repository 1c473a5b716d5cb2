#pragma once

#include "attempt.h"

#include <base/instant.h>
#include <base/verdict.h>

#include <boost/container/static_vector.hpp>
#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <cstdint>

namespace Scheduling
{

using TargetIndex = std::uint32_t;
using PoolIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;

/// Upper bound of SchedulerLimits::attempts.
inline constexpr std::size_t MaxAttempts = 4;

enum class RequestState {
    Queued,
    AwaitingTarget, ///< waits for a slot on another target after a failed attempt
    InFlight,
    Abandoned, ///< has its final outcome, but its attempt still uses a slot
};

/// A failed attempt. `isUnattributed` is set until either the target or the request is found to be at fault.
struct FailedAttempt {
    TargetId target;
    bool isUnattributed = false;
};

using FailedAttempts = boost::container::static_vector<FailedAttempt, MaxAttempts>;

/// A request between its arrival and the end of its last attempt.
struct Request {
    Arrival arrival;
    Base::Instant latestStart; ///< an attempt that starts later isn't expected to meet the deadline
    ServiceIndex service = 0;
    PoolIndex pool = 0;
    TargetIndex target = 0; ///< of the attempt in flight
    bool endsWithinLoan = false; ///< the attempt in flight ends before the target's borrowed slots expire
    std::uint32_t attempts = 0;
    Base::Verdict verdict = Base::Verdict::NotRun; ///< the worst of the attempts that ended
    RequestState state = RequestState::Queued;
    FailedAttempts failures;
    boost::intrusive::set_member_hook<> queueHook;
};

} // namespace Scheduling
