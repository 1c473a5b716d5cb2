#pragma once

#include "claimrunner.h"

#include <platform/httpsettings.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace ClaimService
{

struct ClaimProcessorSettings {
    RunnerSettings runner;
    Platform::HttpSettings platform;
    std::size_t maxWaitingClaims = 4096; ///< passed to the thread, not processed yet; more are refused
};

/// Claims requests with idempotency keys on a thread of its own. Bounded rings connect it to one other
/// thread, which calls claim(), finish() and drainReplies(). Every accepted claim gets one reply, and every
/// Grant must be followed by one finish(). Deadlines refer to the steady clock of the process.
class ClaimProcessor
{
public:
    /// `wake` is called on the claim thread when replies are ready to be drained.
    ClaimProcessor(const ClaimProcessorSettings &settings, std::function<void()> wake);
    ClaimProcessor(const ClaimProcessor &) = delete;
    ClaimProcessor &operator=(const ClaimProcessor &) = delete;

    /// Stops the thread immediately, without waiting for open claims; see stop().
    ~ClaimProcessor();

    /// Returns false if the ring is full; the request must then be refused with the verdict NotRun.
    bool claim(const Claims::ClaimRequest &request);

    /// Reports the outcome of a granted request. Returns false if it was not accepted, which can only happen
    /// for an outcome without a grant.
    bool finish(std::uint64_t requestId, Claims::RequestOutcome outcome);

    /// Passes every pending reply to `receive`.
    void drainReplies(const std::function<void(ClaimReply)> &receive);

    /// Whether claims are made; until then, claims are refused. May be called from any thread.
    bool isReady() const;

    /// Stops the thread as soon as the end events of all claims are in the log, at the latest after
    /// `timeout`. Returns false if claims were left open; their keys stay held until the window has passed.
    bool stop(Base::Duration timeout);

private:
    class Thread;
    std::unique_ptr<Thread> m_thread;
};

} // namespace ClaimService
