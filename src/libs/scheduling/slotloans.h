#pragma once

#include "slotmessages.h"

#include <base/instant.h>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Scheduling
{

/// The slots that one member has lent to its peers. A loan that is renewed with fewer slots counts in full
/// until the earlier grant expires, since the message with the smaller grant may get lost.
class LentSlots
{
public:
    /// `sequence` is the sequence number of the BorrowRequest.
    void
    lend(const Base::MemberName &borrower, const Loan &loan, std::uint64_t sequence, Base::Instant until);

    /// Removes the grants on the borrower's requests up to this sequence number.
    void releaseGrants(const Base::MemberName &borrower,
                       const Base::InstanceName &instance,
                       std::uint64_t sequence);

    /// Removes expired loans. Returns true if there were any.
    bool expire(Base::Instant now);

    std::uint32_t lentOf(const Base::InstanceName &instance) const;
    std::uint32_t lentTo(const Base::MemberName &borrower, const Base::InstanceName &instance) const;
    std::optional<Base::Instant> nextExpiry() const;

private:
    struct Grant {
        std::uint32_t slots = 0;
        std::uint64_t sequence = 0;
        Base::Instant until;
    };
    using Key = std::pair<Base::InstanceName, Base::MemberName>;

    std::map<Key, std::vector<Grant>> m_grants;
};

/// The slots that one member has borrowed from its peers.
class BorrowedSlots
{
public:
    /// Replaces all loans of the lender in the pool.
    void replace(const Base::MemberName &lender,
                 const Base::PoolName &pool,
                 const std::vector<Loan> &loans,
                 Base::Instant until);

    /// Removes expired loans. Returns true if there were any.
    bool expire(Base::Instant now);

    std::uint32_t borrowedFrom(const Base::MemberName &lender, const Base::PoolName &pool) const;

    /// Returns all slots borrowed on an instance, and the expiry of the loan that expires first.
    Allowance borrowedOf(const Base::InstanceName &instance) const;
    std::optional<Base::Instant> nextExpiry() const;

private:
    struct Borrowing {
        std::vector<Loan> loans;
        Base::Instant until;
    };
    using Key = std::pair<Base::MemberName, Base::PoolName>;

    std::map<Key, Borrowing> m_borrowings;
};

} // namespace Scheduling
