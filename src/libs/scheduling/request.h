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

/// No setting allows more attempts per request.
inline constexpr std::size_t MaxAttempts = 4;

enum class RequestState {
    Queued,
    AwaitingTarget, ///< failed once, waits for a slot on another target
    InFlight,
    Abandoned, ///< has its final outcome, its attempt still takes a slot
};

/// A failed attempt; `isHeld` while it is open whether the target or the request is at fault.
struct FailedAttempt {
    TargetId target;
    bool isUnattributed = false;
};

using FailedAttempts = boost::container::static_vector<FailedAttempt, MaxAttempts>;

/// A request between its arrival and the end of its last attempt.
struct Request {
    Arrival arrival;
    Base::Instant latestStart; ///< an attempt that starts later can't meet the deadline
    ServiceIndex service = 0;
    PoolIndex pool = 0;
    TargetIndex target = 0; ///< of the attempt in flight
    bool isBounded = false; ///< the attempt in flight ends before the target's borrowed slots do
    std::uint32_t attempts = 0;
    Base::Verdict verdict = Base::Verdict::NotRun; ///< the worst over the attempts that ended
    RequestState state = RequestState::Queued;
    FailedAttempts failures;
    boost::intrusive::set_member_hook<> queueHook;
};

} // namespace Scheduling
