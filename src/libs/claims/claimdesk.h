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
    std::size_t maxOpenClaims = 4096; ///< claims whose end is not in the log yet
    std::size_t maxStoredAnswerBytes = 1024; ///< of one answer; a larger one is not kept
    Base::Duration endDelay =
        std::chrono::milliseconds(200); ///< how long an end may wait for a claim to go with
    Base::Duration retryAfter = std::chrono::seconds(1); ///< told to callers who may try again
};

/// A request with an idempotency key that is to be executed at most once.
struct ClaimRequest {
    std::uint64_t requestId = 0; ///< unique within the member
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    Base::Instant deadline; ///< a claim that is not granted by then is given up
};

/// How the execution of a granted request ended. The caller is not answered by the desk then.
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
    Unknown, ///< the record may be in the log, or may yet get there
    Unavailable, ///< proven not taken
};

/// Append this record, and tell onAppend() what became of it.
struct AppendRecord {
    std::string id; ///< unique; a record that is tried again gets another one
    std::string data;
};
/// Dispatch the request now, and tell onOutcome() what became of it.
struct Grant {
    std::uint64_t requestId = 0;
};
using CoordinatorOutput = std::variant<AppendRecord, Grant, ClaimAnswer>;

/// One member's side of at most once: claims keys in the log, and grants a request when its own claim is seen
/// to have taken effect. Every request gets one Grant or one ClaimAnswer. A pure state machine: each input is
/// followed by takeOutputs().
class ClaimCoordinator
{
public:
    /// `from` is the offset of the first record that will be folded.
    ClaimCoordinator(const CoordinatorSettings &settings, Base::MemberName member, Offset from);

    void claim(const ClaimRequest &request, Base::Instant now);

    /// The record at next(), as the log has it.
    void applyRecord(std::string_view data, Base::Instant now);

    /// The log's end as seen now. The first one has to be folded up to before any claim is made.
    void setTail(Offset end);

    /// Records between next() and `from` were lost to this reader: it begins again there.
    void restartFrom(Offset from, Base::Instant now);

    void onAppend(AppendResult result, Base::Instant now);
    void onOutcome(std::uint64_t requestId, const RequestOutcome &outcome, Base::Instant now);

    /// To be called at nextDue(), and harmless at any time.
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextDue() const;

    std::vector<CoordinatorOutput> takeOutputs();

    /// Whether claims are made; otherwise every request is refused that the table has no answer for.
    bool isReady() const;

    Offset next() const;
    std::size_t openClaims() const;
    const ClaimTable &table() const;

private:
    enum class Stage {
        Waiting, ///< for its claim to be folded
        Granted,
        Ending, ///< for the record that ends it to be folded
    };
    struct OpenClaim {
        ClaimRequest request;
        Stage stage = Stage::Waiting;
        unsigned sends = 0; ///< appends that may have carried the claim
        std::optional<ClaimEvent> end;
    };
    using OpenClaims = std::unordered_map<std::uint64_t, OpenClaim>;

    std::optional<AnswerKind> answerKindOfHeldKey(const ClaimRequest &request) const;
    bool canClaim(const ClaimRequest &request, Base::Instant now) const;
    void open(const ClaimRequest &request, Base::Instant now);
    void onOwnEvent(const Applied &applied, Base::Instant now);
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
    std::unordered_map<std::uint64_t, std::uint64_t> m_byRequest; ///< granted ones
    std::unordered_map<KeyDigest, std::uint64_t, KeyDigestHash> m_waitingKeys;
    std::set<std::pair<Base::Instant, std::uint64_t>> m_deadlines; ///< of waiting ones
    std::vector<CoordinatorOutput> m_outputs;
};

} // namespace Claims
