#pragma once

#include "claimanswer.h"
#include "claimtable.h"
#include "eventoutbox.h"

#include <base/instant.h>
#include <base/names.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Claims
{

struct CoordinatorSettings {
    TableSettings table;
    OutboxSettings outbox;
    std::size_t maxOpenClaims = 4096; ///< claims whose end event has not been read back from the log
    std::size_t maxStoredAnswerBytes = 1024; ///< per answer; larger answers are not stored
    Base::Duration endDelay =
        std::chrono::milliseconds(200); ///< how long an end event may wait to be batched with a claim
    Base::Duration retryAfter = std::chrono::seconds(1); ///< sent to callers that may repeat the request
};

/// A request with an idempotency key that is to be executed at most once.
struct ClaimRequest {
    std::uint64_t requestId = 0; ///< unique within the member
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    Base::Instant deadline; ///< a claim that is not granted by then is abandoned
};

/// The outcome of a granted request. ClaimCoordinator does not answer the caller of a granted request.
struct RequestCompleted {
    std::uint16_t status = 0;
    std::string answer;
};
struct RequestNotRun {
};
struct RequestMayHaveRun {
};
using RequestOutcome = std::variant<RequestCompleted, RequestNotRun, RequestMayHaveRun>;

enum class AppendResult {
    Appended,
    Unknown, ///< the record may be in the log, or may still be added to it
    Unavailable, ///< the record is proven not to have been added
};

/// Append this record and report the result to onAppend().
struct AppendRecord {
    std::string id; ///< unique; a retry uses a new id
    std::string data;
};
/// Dispatch the request now and report the outcome to onOutcome().
struct Grant {
    std::uint64_t requestId = 0;
};
using CoordinatorOutput = std::variant<AppendRecord, Grant, ClaimAnswer>;

/// Implements at-most-once execution for one member: appends a claim on the request's key to the log and
/// grants the request when the claim has been read back and has taken effect. Every request gets exactly one
/// Grant or one ClaimAnswer. A state machine without I/O: call takeOutputs() after each input.
class ClaimCoordinator
{
public:
    /// `from` is the offset of the first record that will be applied.
    ClaimCoordinator(const CoordinatorSettings &settings, Base::MemberName member, Offset from);

    void claim(const ClaimRequest &request, Base::Instant now);

    /// Applies the record at next(); `data` is its content in the log.
    void applyRecord(std::string_view data, Base::Instant now);

    /// Sets the current end of the log. No claim is made before all records up to the first reported end have
    /// been applied.
    void setTail(Offset end);

    /// Resets the table and continues at `from`, because the records between next() and `from` can no longer
    /// be read.
    void restartFrom(Offset from, Base::Instant now);

    void onAppend(AppendResult result, Base::Instant now);
    void onOutcome(std::uint64_t requestId, const RequestOutcome &outcome, Base::Instant now);

    /// Call this at nextDue(). Earlier calls are harmless.
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextDue() const;

    std::vector<CoordinatorOutput> takeOutputs();

    /// Whether claims are made. Otherwise every request is refused unless the table already determines its
    /// answer.
    bool isReady() const;

    Offset next() const;
    std::size_t openClaims() const;
    const ClaimTable &table() const;

private:
    enum class Stage {
        Waiting, ///< until its claim has been applied
        Granted,
        Ending, ///< until its end event has been applied
    };
    struct OpenClaim {
        ClaimRequest request;
        Stage stage = Stage::Waiting;
        unsigned sendCount = 0; ///< appends that may have carried the claim
        std::optional<ClaimEvent> end;
    };
    using OpenClaims = std::unordered_map<std::uint64_t, OpenClaim>;

    std::optional<AnswerKind> answerKindOfHeldKey(const ClaimRequest &request) const;
    bool canClaim(const ClaimRequest &request, Base::Instant now) const;
    void open(const ClaimRequest &request, Base::Instant now);
    void onOwnEvent(const EventEffect &applied, Base::Instant now);
    void onOwnClaim(OpenClaims::iterator it, bool takesEffect, Base::Instant now);
    void abandon(OpenClaims::iterator it, Base::Instant now);
    void abandonExpired(Base::Instant now);
    void end(OpenClaims::iterator it, decltype(ClaimEvent::kind) kind, Base::Instant now);
    void stopWaiting(OpenClaims::iterator it);
    void answer(const ClaimRequest &request, AnswerKind kind);
    void flush(Base::Instant now);
    bool isStillNeeded(const ClaimEvent &event) const;
    ClaimId idOf(std::uint64_t sequence) const;

    CoordinatorSettings m_settings;
    Base::MemberName m_member;
    std::uint64_t m_owner;
    std::unique_ptr<ClaimTable> m_table;
    EventOutbox m_outbox;
    std::optional<Offset> m_firstTail;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_lastRecord = 0;
    OpenClaims m_open; ///< by sequence
    std::unordered_map<std::uint64_t, std::uint64_t> m_byRequest; ///< granted claims
    std::unordered_map<KeyDigest, std::uint64_t, KeyDigestHash> m_waitingKeys;
    std::set<std::pair<Base::Instant, std::uint64_t>> m_deadlines; ///< of waiting claims
    std::vector<CoordinatorOutput> m_outputs;
};

} // namespace Claims
