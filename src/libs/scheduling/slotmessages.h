#pragma once

#include "allowance.h"
#include "membership.h"

#include <base/names.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace Scheduling
{

/// The slots of a pool that a member can lend.
struct SpareSlots {
    Base::PoolName pool;
    std::uint32_t slots = 0;

    bool operator==(const SpareSlots &) const = default;
};

/// Sent to every peer periodically.
struct SlotHeartbeat {
    Base::MemberName from;
    std::uint64_t sequence = 0;
    std::uint64_t echo = 0; ///< the last sequence number received from the recipient
    EpochNumber acknowledged; ///< the sender uses no more than its share in this epoch
    bool hasLeft = false; ///< the sender has stopped using slots for good
    std::vector<SpareSlots> spares;

    bool operator==(const SlotHeartbeat &) const = default;
};

/// Requests loans of a pool's slots. The number includes the slots that are already lent.
struct BorrowRequest {
    Base::MemberName from;
    std::uint64_t sequence = 0;
    Base::PoolName pool;
    std::uint32_t slots = 0;
    Base::Duration term{}; ///< of the loans

    bool operator==(const BorrowRequest &) const = default;
};

struct Loan {
    Base::InstanceName instance;
    std::uint32_t slots = 0;

    bool operator==(const Loan &) const = default;
};

/// Replaces all loans of the sender in the pool. The loans have the term of the request, which the borrower
/// counts from the time at which it sent the request.
struct LoanGrant {
    Base::MemberName from;
    std::uint64_t sequence = 0; ///< of the BorrowRequest
    Base::PoolName pool;
    std::vector<Loan> loans;

    bool operator==(const LoanGrant &) const = default;
};

/// Returns all loans of the pool that were granted on requests up to this sequence number. The sender no
/// longer uses the slots.
struct LoanReturn {
    Base::MemberName from;
    std::uint64_t sequence = 0;
    Base::PoolName pool;

    bool operator==(const LoanReturn &) const = default;
};

using SlotMessage = std::variant<SlotHeartbeat, BorrowRequest, LoanGrant, LoanReturn>;

struct OutgoingSlotMessage {
    Base::MemberName to;
    SlotMessage message;
};

struct AllowanceChange {
    TargetId target;
    Allowance allowance;

    bool operator==(const AllowanceChange &) const = default;
};

/// The decisions of the ledger. Its owner applies the allowances and then sends the messages, before it
/// dispatches any request.
struct SlotDecisions {
    std::vector<AllowanceChange> allowances;
    std::vector<OutgoingSlotMessage> messages;
};

} // namespace Scheduling
