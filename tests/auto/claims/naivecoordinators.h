#pragma once

#include <claims/claimcoordinator.h>

#include <deque>
#include <map>

/// Naive variant: each member only remembers the keys that it has received itself.
class LocalMemoryCoordinator
{
public:
    LocalMemoryCoordinator(const Claims::CoordinatorSettings &,
                           const Base::MemberName &,
                           Claims::Offset from);

    void claim(const Claims::ClaimRequest &request, Base::Instant now);
    void applyRecord(std::string_view data, Base::Instant now);
    void setTail(Claims::Offset end);
    void restartFrom(Claims::Offset from, Base::Instant now);
    void onAppend(Claims::AppendResult result, Base::Instant now);
    void onOutcome(std::uint64_t requestId, const Claims::RequestOutcome &outcome, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextDue() const;
    std::vector<Claims::CoordinatorOutput> takeOutputs();
    Claims::Offset next() const;

private:
    Claims::Offset m_next;
    std::map<Claims::KeyDigest, std::uint64_t> m_requests;
    std::vector<Claims::CoordinatorOutput> m_outputs;
};

/// Naive variant: claims keys in the log, but a claim without an end event is taken over after a timeout.
class TakeoverCoordinator
{
public:
    TakeoverCoordinator(const Claims::CoordinatorSettings &,
                        const Base::MemberName &member,
                        Claims::Offset from);

    void claim(const Claims::ClaimRequest &request, Base::Instant now);
    void applyRecord(std::string_view data, Base::Instant now);
    void setTail(Claims::Offset end);
    void restartFrom(Claims::Offset from, Base::Instant now);
    void onAppend(Claims::AppendResult result, Base::Instant now);
    void onOutcome(std::uint64_t requestId, const Claims::RequestOutcome &outcome, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextDue() const;
    std::vector<Claims::CoordinatorOutput> takeOutputs();
    Claims::Offset next() const;

private:
    struct Holder {
        Claims::ClaimId claim;
        Base::Instant seenAt;
        bool isEnded = false;
    };

    bool isHeld(const Claims::KeyDigest &key, Base::Instant now) const;
    void end(const Claims::ClaimEvent &event);
    void send(const Claims::ClaimEvent &event);
    void sendNext();

    Base::MemberName m_member;
    Claims::Offset m_next;
    std::uint64_t m_lastSequence = 0;
    std::map<Claims::KeyDigest, Holder> m_holders;
    std::map<Claims::ClaimId, Claims::KeyDigest> m_keys; ///< of every claim read from the log
    std::map<std::uint64_t, Claims::ClaimRequest> m_waiting; ///< by sequence
    std::map<std::uint64_t, std::uint64_t> m_granted; ///< claim sequences by request id
    std::deque<Claims::ClaimEvent> m_queue;
    bool m_isAppending = false;
    std::vector<Claims::CoordinatorOutput> m_outputs;
};
