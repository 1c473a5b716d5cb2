#pragma once

#include "membershipshares.h"
#include "slotloans.h"
#include "slotmessages.h"
#include "statistics.h"

#include <base/instant.h>
#include <base/names.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Scheduling
{

/// Settings for sharing slots between entry instances.
struct SlotSharingLimits {
    Base::Duration heartbeatPeriod = std::chrono::milliseconds{250};
    Base::Duration borrowPeriod = std::chrono::milliseconds{50};
    Base::Duration loanTerm = std::chrono::seconds{1};
    /// For pools without own slots; covers the longest request.
    Base::Duration longLoanTerm = std::chrono::seconds{60};
    Base::Duration fencingPeriod =
        std::chrono::seconds{62}; ///< the longest request or loan plus `staleAfter`
    /// Time without advance() after which the known state may be outdated.
    Base::Duration staleAfter = std::chrono::seconds{1};
    /// Time without an answer from any peer after which slots are used again.
    Base::Duration isolatedAfter = std::chrono::seconds{2};
    double clockDrift = 0.001; ///< maximum relative drift between two monotonic clocks
    double headroom = 0.1; ///< slots borrowed beyond the demand, as a share of the pool's own slots
};

/// Shares the slots of the targets with the other entry instances. Each member has own slots according to the
/// membership, and peers lend each other slots for short terms. The lender counts the term from the grant and
/// the borrower from its request, each on its own monotonic clock, so that a slot is never used on both
/// sides.
///
/// Does no I/O: the owner passes in the time, delivers the messages, applies the decisions immediately, and
/// calls advance() before it dispatches requests after a pause.
class SlotLedger
{
public:
    /// Returns the owner's current attempts in flight on a target.
    using UseOf = std::function<TargetUse(TargetId)>;

    SlotLedger(const SlotSharingLimits &limits, const Base::MemberName &self, UseOf use);

    void setTargets(std::span<const TargetSpec> targets, Base::Instant now, SlotDecisions &out);
    void setEpoch(const MembershipEpoch &epoch, Base::Instant now, SlotDecisions &out);

    /// Updates the demand on the pools. To be called about every borrowPeriod.
    void updateDemand(std::span<const PoolStatistics> pools, Base::Instant now, SlotDecisions &out);

    void receive(const SlotMessage &message, Base::Instant now, SlotDecisions &out);
    void advance(Base::Instant now, SlotDecisions &out);

    /// Releases all slots before a planned shutdown, so that the peers get them without waiting for
    /// `fencingPeriod`.
    void leave(Base::Instant now, SlotDecisions &out);

    /// True after leave() when no slot is used or lent any more and the peers were notified.
    bool hasLeft() const;

    std::optional<Base::Instant> nextDue() const;

private:
    struct Peer {
        std::uint64_t lastSequence = 0;
        Base::Instant lastHeartbeatAt;
        std::vector<SpareSlots> spares;
    };
    struct PoolUse {
        std::vector<std::size_t> targets;
        double meanForeground = 0; ///< slots in use by foreground requests, smoothed
        std::uint32_t demand = 0; ///< slots in use and queued foreground requests
        bool isBorrowing = false; ///< for long terms, which cover at least one request
        bool isBatchWaiting = false; ///< batch requests are queued and none is in flight
    };
    struct SentRequest {
        std::uint64_t sequence = 0;
        Base::MemberName lender;
        Base::PoolName pool;
        Base::Instant at;
        Base::Duration term{};
    };

    void updateTime(Base::Instant now);
    void suspend(Base::Instant now);
    void resume();
    void receiveFrom(const SlotHeartbeat &heartbeat, Base::Instant now, SlotDecisions &out);
    void receiveFrom(const BorrowRequest &request, Base::Instant now, SlotDecisions &out);
    void receiveFrom(const LoanGrant &grant, Base::Instant now, SlotDecisions &out);
    void receiveFrom(const LoanReturn &message, Base::Instant now, SlotDecisions &out);
    std::vector<Loan> chooseLoans(const BorrowRequest &request) const;
    void sendHeartbeats(SlotDecisions &out);
    void sendHeartbeat(const Base::MemberName &to, SlotDecisions &out);
    void borrow(const Base::PoolName &name, PoolUse &pool, Base::Instant now, SlotDecisions &out);
    void returnLoans(const Base::PoolName &name, PoolUse &pool, SlotDecisions &out);
    std::vector<Base::MemberName> lendersOf(const Base::PoolName &pool, Base::Instant now) const;
    std::uint32_t spareOf(const Base::MemberName &peer, const Base::PoolName &pool) const;
    std::uint32_t ownSlots(std::size_t target) const;
    std::int64_t spareSlots(const PoolUse &pool) const;
    bool hasShare(const PoolUse &pool) const;
    bool isWithinShare() const;
    bool isIdle() const;
    void publish(SlotDecisions &out);

    SlotSharingLimits m_limits;
    Base::MemberName m_self;
    UseOf m_use;
    std::vector<TargetSpec> m_targets;
    std::vector<Allowance> m_published;
    MembershipShares m_shares;
    LentSlots m_lent;
    BorrowedSlots m_borrowed;
    std::map<Base::PoolName, PoolUse> m_pools;
    std::map<Base::MemberName, Peer> m_peers;
    std::deque<SentRequest> m_sent;
    std::uint64_t m_sequence = 0;
    EpochNumber m_acknowledged;
    Base::Instant m_now;
    Base::Instant m_heartbeatDue;
    bool m_isStarted = false;
    bool m_isLeaving = false;
    bool m_hasLeft = false;
    bool m_isChanged = false; ///< since the allowances were last published
    std::optional<Base::Instant> m_suspendedSince; ///< no slot is used until a peer has confirmed the state
    std::uint64_t m_sequenceWhenSuspended = 0;
    std::optional<Base::Instant> m_outdatedSince; ///< a peer knows a later epoch
    EpochNumber m_peerEpoch;
};

} // namespace Scheduling
