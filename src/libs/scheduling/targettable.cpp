#include "targettable.h"

#include <algorithm>
#include <utility>

namespace Scheduling
{

namespace
{

constexpr std::size_t MaxSkippedTargets = 8;

bool hasFailedOn(const FailedAttempts &failures, TargetId target)
{
    return std::any_of(
        failures.begin(), failures.end(), [target](const FailedAttempt &it) { return it.target == target; });
}

std::size_t randomIndex(std::size_t bound, RandomEngine &random)
{
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random);
}

} // namespace

std::uint32_t Target::limit() const
{
    if (isRetired || spec.isDraining) {
        return 0;
    }
    const std::uint32_t allowed = allowance ? allowance->slots + allowance->borrowed : spec.slots;
    return std::min({allowed, spec.slots, spec.connections});
}

bool Target::endsWithinLoan(Base::Instant attemptDeadline) const
{
    return allowance && allowance->borrowed > 0 && attemptDeadline <= allowance->borrowedUntil;
}

// The number of requests that may end after the borrowed slots expire never exceeds the number of own slots.
// Therefore the requests that are still in flight at the expiry fit the own slots, regardless of the slot on
// which each was started.
bool Target::canTake(Base::Instant attemptDeadline) const
{
    const std::uint32_t own = allowance ? allowance->slots : spec.slots;
    return inFlight < limit() && (inFlightBeyondLoan < own || endsWithinLoan(attemptDeadline));
}

bool Target::isInService() const
{
    const bool isAvailable = status == TargetStatus::InService || status == TargetStatus::Suspect;
    return isAvailable && !isRetired && !spec.isDraining;
}

TargetTable::TargetTable(Base::AvailabilityZoneName zone)
    : m_zone(std::move(zone))
{
}

TargetTable::UpdateResult TargetTable::addOrUpdate(const TargetSpec &spec, PoolIndex pool)
{
    if (pool >= m_pools.size()) {
        m_pools.resize(pool + 1);
    }
    const auto known = find(spec.id);
    const TargetIndex index = known ? *known : addEntry(spec);
    const Entry &entry = m_entries[index];
    const bool isNew = entry.isRetired || entry.pool != pool || entry.spec.instance != spec.instance;
    changeEntry(index, [&](Entry &it) {
        it.spec = spec;
        it.pool = pool;
        it.isListed = true;
        if (it.isRetired) {
            it.isRetired = false;
            it.allowance.reset();
        }
        if (isNew) {
            it.status = TargetStatus::InService;
        }
    });
    return {index, isNew};
}

std::vector<TargetIndex> TargetTable::retireUnlisted()
{
    std::vector<TargetIndex> retired;
    for (TargetIndex index = 0; index < m_entries.size(); ++index) {
        Entry &entry = m_entries[index];
        if (entry.isListed || entry.isRetired) {
            entry.isListed = false;
            continue;
        }
        changeEntry(index, [](Entry &it) { it.isRetired = true; });
        retired.push_back(index);
        recycleIfUnused(index);
    }
    return retired;
}

void TargetTable::setAllowance(TargetIndex index, const Allowance &allowance)
{
    changeEntry(index, [&allowance](Entry &it) { it.allowance = allowance; });
}

void TargetTable::setStatus(TargetIndex index, TargetStatus status)
{
    changeEntry(index, [status](Entry &it) { it.status = status; });
}

std::optional<TargetIndex>
TargetTable::choose(PoolIndex pool, const Constraints &constraints, RandomEngine &random) const
{
    for (const auto &free : m_pools[pool].free) {
        if (const auto chosen = chooseFrom(free, constraints, random)) {
            return chosen;
        }
    }
    return std::nullopt;
}

void TargetTable::occupy(TargetIndex index, bool endsWithinLoan)
{
    ++m_entries[index].inFlight;
    m_entries[index].inFlightBeyondLoan += endsWithinLoan ? 0 : 1;
    updateFree(index);
}

void TargetTable::release(TargetIndex index, bool endsWithinLoan)
{
    --m_entries[index].inFlight;
    m_entries[index].inFlightBeyondLoan -= endsWithinLoan ? 0 : 1;
    updateFree(index);
    recycleIfUnused(index);
}

std::optional<TargetIndex> TargetTable::find(TargetId id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? std::nullopt : std::optional{it->second};
}

const Target &TargetTable::at(TargetIndex index) const
{
    return m_entries[index];
}

PoolCapacity TargetTable::capacity(PoolIndex pool) const
{
    return pool < m_pools.size() ? m_pools[pool].capacity : PoolCapacity{};
}

bool TargetTable::hasFree(PoolIndex pool) const
{
    return pool < m_pools.size()
        && std::any_of(m_pools[pool].free.begin(), m_pools[pool].free.end(), [](const auto &it) {
               return !it.empty();
           });
}

TargetIndex TargetTable::addEntry(const TargetSpec &spec)
{
    TargetIndex index = static_cast<TargetIndex>(m_entries.size());
    if (m_unused.empty()) {
        m_entries.emplace_back();
    } else {
        index = m_unused.back();
        m_unused.pop_back();
        m_entries[index] = Entry{};
    }
    // Retired entries don't count towards the pool's capacity. addOrUpdate() counts the entry once it is
    // filled in.
    m_entries[index].isRetired = true;
    m_byId.emplace(spec.id, index);
    return index;
}

std::uint32_t TargetTable::tierOf(const Target &target) const
{
    const bool isRemote = !m_zone.isEmpty() && target.spec.zone != m_zone;
    const bool isSuspect = target.status == TargetStatus::Suspect;
    return (isSuspect ? 2U : 0U) + (isRemote ? 1U : 0U);
}

// Two random choices are enough to keep the maximum load low (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing"), and their cost does not depend on the number of targets.
std::optional<TargetIndex> TargetTable::chooseFrom(std::span<const TargetIndex> free,
                                                   const Constraints &constraints,
                                                   RandomEngine &random) const
{
    if (free.empty()) {
        return std::nullopt;
    }
    if (free.size() == 1) {
        return firstEligible(free, 0, constraints);
    }
    const std::size_t first = randomIndex(free.size(), random);
    const std::size_t second = (first + 1 + randomIndex(free.size() - 1, random)) % free.size();
    const auto a = firstEligible(free, first, constraints);
    const auto b = firstEligible(free, second, constraints);
    if (a && b) {
        return lessLoaded(*a, *b);
    }
    return a ? a : b;
}

// Skips targets on which the request has already failed and targets whose free slots are all borrowed and
// expire too early. The number of targets examined is limited to bound the cost of the search.
std::optional<TargetIndex> TargetTable::firstEligible(std::span<const TargetIndex> free,
                                                      std::size_t start,
                                                      const Constraints &constraints) const
{
    const std::size_t steps = std::min(free.size(), constraints.excluded.size() + MaxSkippedTargets);
    for (std::size_t n = 0; n < steps; ++n) {
        const TargetIndex index = free[(start + n) % free.size()];
        const Entry &entry = m_entries[index];
        if (entry.canTake(constraints.attemptDeadline) && !hasFailedOn(constraints.excluded, entry.spec.id)) {
            return index;
        }
    }
    return std::nullopt;
}

TargetIndex TargetTable::lessLoaded(TargetIndex a, TargetIndex b) const
{
    const Entry &left = m_entries[a];
    const Entry &right = m_entries[b];
    const auto leftLoad = std::uint64_t{left.inFlight} * right.limit();
    const auto rightLoad = std::uint64_t{right.inFlight} * left.limit();
    return leftLoad <= rightLoad ? a : b;
}

template<typename Change>
void TargetTable::changeEntry(TargetIndex index, Change change)
{
    Entry &entry = m_entries[index];
    updateCapacity(entry, -1);
    if (entry.freePosition != NotFree) {
        removeFree(index);
    }
    change(entry);
    updateCapacity(entry, 1);
    updateFree(index);
}

void TargetTable::updateCapacity(const Target &target, int sign)
{
    if (target.isRetired) {
        return;
    }
    const auto add = [sign](std::uint32_t &sum, std::uint32_t amount) {
        sum = sign > 0 ? sum + amount : sum - amount;
    };
    PoolCapacity &capacity = m_pools[target.pool].capacity;
    add(capacity.targets, 1);
    add(capacity.declaredSlots, target.spec.slots);
    if (target.isInService()) {
        add(capacity.inServiceSlots, target.spec.slots);
        add(capacity.slots, target.limit());
        add(capacity.usableTargets, target.limit() > 0 ? 1 : 0);
    }
}

void TargetTable::updateFree(TargetIndex index)
{
    const Entry &entry = m_entries[index];
    const bool isFree = entry.isInService() && entry.inFlight < entry.limit();
    if (isFree && entry.freePosition == NotFree) {
        addFree(index);
    } else if (!isFree && entry.freePosition != NotFree) {
        removeFree(index);
    }
}

void TargetTable::addFree(TargetIndex index)
{
    Entry &entry = m_entries[index];
    entry.freeTier = tierOf(entry);
    auto &free = m_pools[entry.pool].free[entry.freeTier];
    entry.freePosition = static_cast<std::uint32_t>(free.size());
    free.push_back(index);
}

void TargetTable::removeFree(TargetIndex index)
{
    Entry &entry = m_entries[index];
    auto &free = m_pools[entry.pool].free[entry.freeTier];
    const TargetIndex last = free.back();
    free[entry.freePosition] = last;
    m_entries[last].freePosition = entry.freePosition;
    free.pop_back();
    entry.freePosition = NotFree;
}

// A retired target is kept while requests are in flight on it, so that they still count if it is added again.
void TargetTable::recycleIfUnused(TargetIndex index)
{
    if (m_entries[index].isRetired && m_entries[index].inFlight == 0) {
        m_byId.erase(m_entries[index].spec.id);
        m_unused.push_back(index);
    }
}

} // namespace Scheduling
