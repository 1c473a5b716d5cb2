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
    std::vector<SpareSlots> spares;

    bool operator==(const SlotHeartbeat &) const = default;
};

/// Asks for loans of a pool's slots, those that are lent already included.
struct BorrowRequest {
    Base::MemberName from;
    std::uint64_t sequence = 0;
    Base::PoolName pool;
    std::uint32_t slots = 0;

    bool operator==(const BorrowRequest &) const = default;
};

struct Loan {
    Base::InstanceName instance;
    std::uint32_t slots = 0;

    bool operator==(const Loan &) const = default;
};

/// All that the sender lends of the pool from now on, for one term counted from the request.
struct LoanGrant {
    Base::MemberName from;
    std::uint64_t sequence = 0; ///< of the request
    Base::PoolName pool;
    std::vector<Loan> loans;

    bool operator==(const LoanGrant &) const = default;
};

using SlotMessage = std::variant<SlotHeartbeat, BorrowRequest, LoanGrant>;

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
