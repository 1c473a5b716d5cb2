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

/// One piece of a request's body, kept while another attempt may need it.
struct BodyChunk {
    std::string data;
    bool isLast = false;
};

/// A request on its way through the target side.
struct Exchange {
    enum class Phase {
        Claiming, ///< waits for its idempotency key
        Queued, ///< waits for a target
        Attempting, ///< sent, or being sent; no part of a response has been passed on
        Responding, ///< the response is being passed on
    };

    explicit Exchange(Base::TimerService &timers)
        : attemptTimer(timers)
    {
    }

    ExchangeId id;
    std::unique_ptr<RequestHead> head;
    Base::ServiceName service;
    RequestTrace trace;
    unsigned status = 0; ///< of the response that is being passed on
    bool isIdempotent = false;
    Document::Priority priority = Document::Priority::Interactive;
    bool isCallerDisconnected = false;
    bool isServerError = false; ///< of the response that is being passed on
    Phase phase = Phase::Queued;
    Base::Instant deadline;
    Base::Instant attemptStartedAt;
    std::vector<BodyChunk> bodyChunks;
    std::size_t bufferedBytes = 0;
    bool isBodyBuffered = true; ///< all pieces from the first one on are there
    bool isBodyComplete = false; ///< the last piece has come
    std::uint32_t creditsGranted = 0; ///< pieces that the caller side was told of
    std::uint32_t chunksSent = 0; ///< in this attempt
    Scheduling::TargetId target;
    std::shared_ptr<TargetConnection> connection;
    std::unique_ptr<ResponseHead> fallbackHead; ///< a whole server error, until another attempt is ruled out
    std::string fallbackBody;
    bool isKeyGranted = false; ///< its outcome is to be recorded
    std::unique_ptr<ResponseHead> replayHead; ///< of a keyed request's answer, for repeats
    std::string replayBody;
    bool isReplayable = true; ///< not too large
    Base::OneShotTimer attemptTimer;
};

} // namespace Gateway::Internal
