#pragma once

#include "claimrunner.h"

#include <platform/httpsettings.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace ClaimService
{

struct DutySettings {
    RunnerSettings runner;
    Platform::HttpSettings platform;
    std::size_t maxWaitingClaims = 4096; ///< handed over and not yet looked at; more are refused
};

/// The thread that claims keyed requests, joined to one other thread by bounded rings: that thread calls
/// claim(), finish() and drainReplies(). Every claim taken gets one reply; a Grant is to be followed by one
/// finish(). Deadlines are on the process's steady clock.
class ClaimDuty
{
public:
    /// `wake` is called on the duty's thread when replies wait to be drained.
    ClaimDuty(const DutySettings &settings, std::function<void()> wake);
    ClaimDuty(const ClaimDuty &) = delete;
    ClaimDuty &operator=(const ClaimDuty &) = delete;

    /// Stops at once; see stop().
    ~ClaimDuty();

    /// False when the ring is full: refuse the request, verdict NotRun.
    bool claim(const Claims::ClaimRequest &request);

    /// How a granted request ended. False when it was not taken, which only an outcome without a grant can
    /// be.
    bool finish(std::uint64_t requestId, Claims::RequestOutcome outcome);

    /// Hands every reply that waits to `receive`.
    void drainReplies(const std::function<void(ClaimReply)> &receive);

    /// Whether claims are made; before, all are refused. May be called from any thread.
    bool isReady() const;

    /// Ends the thread when the end of every claim is in the log, at the latest after `patience`. Returns
    /// false when claims were left open: their keys stay held until the window has passed.
    bool stop(Base::Duration timeout);

private:
    class Thread;
    std::unique_ptr<Thread> m_thread;
};

} // namespace ClaimService
