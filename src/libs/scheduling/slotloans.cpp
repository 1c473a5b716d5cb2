#include "slotloans.h"

#include <algorithm>

namespace Scheduling
{

void LentSlots::lend(const Base::MemberName &borrower,
                     const Loan &loan,
                     std::uint64_t sequence,
                     Base::Instant until)
{
    auto &grants = m_grants[{loan.instance, borrower}];
    // Earlier grants that are neither larger nor expire later than the new one are covered by it.
    std::erase_if(grants, [&](const Grant &it) { return it.slots <= loan.slots && it.until <= until; });
    grants.push_back({loan.slots, sequence, until});
}

void LentSlots::releaseGrants(const Base::MemberName &borrower,
                              const Base::InstanceName &instance,
                              std::uint64_t sequence)
{
    const auto it = m_grants.find({instance, borrower});
    if (it != m_grants.end()) {
        std::erase_if(it->second, [sequence](const Grant &grant) { return grant.sequence <= sequence; });
    }
}

bool LentSlots::expire(Base::Instant now)
{
    std::size_t n = 0;
    for (auto &[key, grants] : m_grants) {
        n += std::erase_if(grants, [now](const Grant &it) { return it.until <= now; });
    }
    std::erase_if(m_grants, [](const auto &it) { return it.second.empty(); });
    return n > 0;
}

std::uint32_t LentSlots::lentOf(const Base::InstanceName &instance) const
{
    std::uint32_t sum = 0;
    for (auto it = m_grants.lower_bound({instance, {}}); it != m_grants.end() && it->first.first == instance;
         ++it) {
        sum += lentTo(it->first.second, instance);
    }
    return sum;
}

std::uint32_t LentSlots::lentTo(const Base::MemberName &borrower, const Base::InstanceName &instance) const
{
    const auto it = m_grants.find({instance, borrower});
    std::uint32_t most = 0;
    if (it != m_grants.end()) {
        for (const Grant &grant : it->second) {
            most = std::max(most, grant.slots);
        }
    }
    return most;
}

std::optional<Base::Instant> LentSlots::nextExpiry() const
{
    std::optional<Base::Instant> earliest;
    for (const auto &[key, grants] : m_grants) {
        for (const Grant &it : grants) {
            earliest = std::min(earliest.value_or(it.until), it.until);
        }
    }
    return earliest;
}

void BorrowedSlots::replace(const Base::MemberName &lender,
                            const Base::PoolName &pool,
                            const std::vector<Loan> &loans,
                            Base::Instant until)
{
    m_borrowings[{lender, pool}] = {loans, until};
}

bool BorrowedSlots::expire(Base::Instant now)
{
    return std::erase_if(m_borrowings, [now](const auto &it) { return it.second.until <= now; }) > 0;
}

std::uint32_t BorrowedSlots::borrowedFrom(const Base::MemberName &lender, const Base::PoolName &pool) const
{
    const auto it = m_borrowings.find({lender, pool});
    std::uint32_t sum = 0;
    if (it != m_borrowings.end()) {
        for (const Loan &loan : it->second.loans) {
            sum += loan.slots;
        }
    }
    return sum;
}

Allowance BorrowedSlots::borrowedOf(const Base::InstanceName &instance) const
{
    Allowance result;
    for (const auto &[key, borrowing] : m_borrowings) {
        for (const Loan &loan : borrowing.loans) {
            if (loan.instance == instance && loan.slots > 0) {
                const bool isFirst = result.borrowed == 0;
                result.borrowed += loan.slots;
                result.borrowedUntil =
                    isFirst ? borrowing.until : std::min(result.borrowedUntil, borrowing.until);
            }
        }
    }
    return result;
}

std::optional<Base::Instant> BorrowedSlots::nextExpiry() const
{
    std::optional<Base::Instant> earliest;
    for (const auto &[key, borrowing] : m_borrowings) {
        earliest = std::min(earliest.value_or(borrowing.until), borrowing.until);
    }
    return earliest;
}

} // namespace Scheduling
