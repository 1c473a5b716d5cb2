#pragma once

#include "allowance.h"
#include "membership.h"

#include <base/names.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace Scheduling
{

/// Slots of a pool that a member could lend.
struct SpareSlots {
    Base::PoolName pool;
    std::uint32_t slots = 0;

    bool operator==(const SpareSlots &) const = default;
};

/// Sent to every peer now and then.
struct SlotHeartbeat {
    Base::MemberName from;
    std::uint64_t sequence = 0;
    std::uint64_t echo = 0; ///< the last sequence that came from the receiver
    EpochNumber acknowledged; ///< the sender uses no more than its share in this epoch
    bool hasLeft = false; ///< the sender uses no slot and won't again
    std::vector<SpareSlots> spares;

    bool operator==(const SlotHeartbeat &) const = default;
};

/// Asks for loans of a pool's slots, those that are lent already included.
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

/// All that the sender lends of the pool from now on, for the term of the request, counted from then.
struct LoanGrant {
    Base::MemberName from;
    std::uint64_t sequence = 0; ///< of the request
    Base::PoolName pool;
    std::vector<Loan> loans;

    bool operator==(const LoanGrant &) const = default;
};

/// Gives back what was granted of the pool on requests up to this one. The sender uses none of it any more.
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

/// What the ledger's owner does at once: allowances first, then messages, before any request is placed.
struct SlotDecisions {
    std::vector<AllowanceChange> allowances;
    std::vector<OutgoingSlotMessage> messages;
};

} // namespace Scheduling
