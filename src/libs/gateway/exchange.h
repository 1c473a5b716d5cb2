#pragma once

#include "message.h"
#include "requesttracer.h"
#include "targetconnection.h"

#include <base/names.h>
#include <base/oneshottimer.h>
#include <base/verdict.h>
#include <document/document.h>
#include <scheduling/ids.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Gateway::Internal
{

/// A chunk of a request body, buffered while it may have to be sent again in another attempt.
struct BodyChunk {
    std::string data;
    bool isLast = false;
};

/// State of a request on the target side.
struct Exchange {
    enum class Phase {
        Claiming, ///< waiting for the claim of the idempotency key
        Queued, ///< waiting for a target
        Attempting, ///< sent or being sent; no part of a response has been forwarded
        Responding, ///< the response is being forwarded
    };

    explicit Exchange(Base::TimerService &timers)
        : attemptTimer(timers)
    {
    }

    ExchangeId id;
    std::unique_ptr<RequestHead> head;
    Base::ServiceName service;
    RequestTrace trace;
    unsigned status = 0; ///< of the latest response
    bool isIdempotent = false;
    Document::Priority priority = Document::Priority::Interactive;
    bool isCallerDisconnected = false;
    bool isServerError = false; ///< whether the response being forwarded has a 5xx status
    Phase phase = Phase::Queued;
    Base::Instant deadline;
    Base::Instant attemptStartedAt;
    std::vector<BodyChunk> bodyChunks;
    std::size_t bufferedBytes = 0;
    bool isBodyBuffered = true; ///< all chunks received so far are in bodyChunks
    bool isBodyComplete = false; ///< the last chunk has been received
    std::uint32_t creditsGranted = 0; ///< to the caller side, over all attempts
    std::uint32_t chunksSent = 0; ///< in the current attempt
    Scheduling::TargetId target;
    std::shared_ptr<TargetConnection> connection;
    std::unique_ptr<ResponseHead> fallbackHead; ///< a complete 5xx response, sent if no attempt follows
    std::string fallbackBody;
    bool isKeyGranted = false; ///< the outcome must be recorded under the idempotency key
    std::unique_ptr<ResponseHead> replayHead; ///< of the response to store under the idempotency key
    std::string replayBody;
    bool isReplayable = true; ///< within TargetLimits::storedAnswerBytes
    Base::OneShotTimer attemptTimer;
};

} // namespace Gateway::Internal
