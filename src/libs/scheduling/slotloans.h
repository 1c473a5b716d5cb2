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

/// What one member has lent to its peers. A loan that is renewed with fewer slots counts in full until the
/// term of the earlier grant is over, as the grant that takes less may be lost.
class LentSlots
{
public:
    /// `sequence` is that of the request.
    void
    lend(const Base::MemberName &borrower, const Loan &loan, std::uint64_t sequence, Base::Instant until);

    /// The borrower gave back what it was granted up to this request.
    void releaseGrants(const Base::MemberName &borrower,
                       const Base::InstanceName &instance,
                       std::uint64_t sequence);

    /// True when something ended.
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

/// What one member has borrowed from its peers.
class BorrowedSlots
{
public:
    /// Replaces what the lender lent of these instances' pool.
    void replace(const Base::MemberName &lender,
                 const Base::PoolName &pool,
                 const std::vector<Loan> &loans,
                 Base::Instant until);

    /// True when something ended.
    bool expire(Base::Instant now);

    std::uint32_t borrowedFrom(const Base::MemberName &lender, const Base::PoolName &pool) const;

    /// All that is borrowed of an instance, and the end of the loan that ends first.
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
