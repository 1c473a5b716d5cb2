#include "slotledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Scheduling
{

namespace
{

constexpr double DemandSmoothing = 0.1; // weight of one observation
constexpr std::size_t MaxSentRequests = 256;

Base::Duration scaled(Base::Duration duration, double factor)
{
    return Base::Duration{static_cast<Base::Duration::rep>(static_cast<double>(duration.count()) * factor)};
}

} // namespace

SlotLedger::SlotLedger(const SlotSharingLimits &limits, const Base::MemberName &self, UseOf use)
    : m_limits(limits)
    , m_self(self)
    , m_use(std::move(use))
    , m_shares(self, limits.fencingPeriod)
{
}

void SlotLedger::setTargets(std::span<const TargetSpec> targets, Base::Instant now, SlotDecisions &out)
{
    updateTime(now);
    m_targets.assign(targets.begin(), targets.end());
    // All allowances are published again, since the owner discards the allowance of a target that is removed
    // and added again.
    m_published.clear();
    for (auto &[name, pool] : m_pools) {
        pool.targets.clear();
    }
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        m_pools[m_targets[n].pool].targets.push_back(n);
    }
    std::erase_if(m_pools, [](const auto &it) { return it.second.targets.empty(); });
    m_shares.setTargets(targets, now);
    m_isChanged = true;
    publish(out);
}

void SlotLedger::setEpoch(const MembershipEpoch &epoch, Base::Instant now, SlotDecisions &out)
{
    updateTime(now);
    m_shares.setEpoch(epoch, now);
    m_isChanged = true;
    std::erase_if(m_peers, [this](const auto &it) { return !m_shares.epoch().hasMember(it.first); });
    publish(out);
    m_heartbeatDue = now;
}

void SlotLedger::updateDemand(std::span<const PoolStatistics> pools, Base::Instant now, SlotDecisions &out)
{
    updateTime(now);
    for (const PoolStatistics &it : pools) {
        const auto pool = m_pools.find(it.pool);
        if (pool == m_pools.end()) {
            continue;
        }
        PoolUse &use = pool->second;
        const std::uint32_t busy = it.busyForeground + it.busyBatch;
        use.meanForeground += DemandSmoothing * (it.busyForeground - use.meanForeground);
        use.demand = busy + it.queuedForeground;
        use.isBatchWaiting = it.queuedBatch > 0 && it.busyBatch == 0;
        if (!m_isLeaving) {
            borrow(it.pool, use, now, out);
        }
    }
}

void SlotLedger::receive(const SlotMessage &message, Base::Instant now, SlotDecisions &out)
{
    updateTime(now);
    std::visit([&](const auto &it) { receiveFrom(it, now, out); }, message);
}

void SlotLedger::advance(Base::Instant now, SlotDecisions &out)
{
    updateTime(now);
    publish(out);
    const bool hasJustLeft = m_isLeaving && !m_hasLeft && isIdle();
    m_hasLeft = m_hasLeft || hasJustLeft;
    if (now >= m_heartbeatDue || hasJustLeft) {
        m_heartbeatDue = now + m_limits.heartbeatPeriod;
        sendHeartbeats(out);
    }
}

void SlotLedger::leave(Base::Instant now, SlotDecisions &out)
{
    m_isLeaving = true;
    m_isChanged = true;
    advance(now, out);
}

bool SlotLedger::hasLeft() const
{
    return m_hasLeft;
}

std::optional<Base::Instant> SlotLedger::nextDue() const
{
    Base::Instant earliest = m_heartbeatDue;
    for (const auto &due : {m_shares.nextDue(), m_lent.nextExpiry(), m_borrowed.nextExpiry()}) {
        earliest = std::min(earliest, due.value_or(earliest));
    }
    return earliest;
}

// While a process was stopped, its slots may have been reassigned to its peers. Therefore it uses no slots
// until a peer has answered a message that was sent after the pause. If no peer answers within isolatedAfter,
// it resumes: there is no reachable peer with which it could conflict, and the last member of a zone has to
// continue to serve.
void SlotLedger::updateTime(Base::Instant now)
{
    if (m_isStarted && now - m_now > m_limits.staleAfter) {
        suspend(now);
    }
    m_isStarted = true;
    m_now = std::max(m_now, now);
    const bool isOutdated = m_peerEpoch > m_shares.epoch().number;
    m_outdatedSince = isOutdated ? std::optional{m_outdatedSince.value_or(now)} : std::nullopt;
    if (m_outdatedSince && now - *m_outdatedSince > m_limits.staleAfter) {
        suspend(now);
    }
    if (m_suspendedSince && !isOutdated && now - *m_suspendedSince > m_limits.isolatedAfter) {
        resume();
    }
    const bool isShareChanged = m_shares.advance(now);
    const bool isLentChanged = m_lent.expire(now);
    const bool isBorrowedChanged = m_borrowed.expire(now);
    m_isChanged = m_isChanged || isShareChanged || isLentChanged || isBorrowedChanged;
    if (m_acknowledged < m_shares.epoch().number && !m_shares.isFencing() && isWithinShare()) {
        m_acknowledged = m_shares.epoch().number;
    }
}

void SlotLedger::suspend(Base::Instant now)
{
    if (!m_suspendedSince) {
        m_isChanged = true;
        m_suspendedSince = now;
        m_sequenceWhenSuspended = m_sequence;
        m_heartbeatDue = now;
    }
}

void SlotLedger::resume()
{
    m_isChanged = true;
    m_suspendedSince.reset();
}

void SlotLedger::receiveFrom(const SlotHeartbeat &heartbeat, Base::Instant now, SlotDecisions &out)
{
    m_peerEpoch = std::max(m_peerEpoch, heartbeat.acknowledged);
    if (!m_shares.epoch().hasMember(heartbeat.from)) {
        if (heartbeat.hasLeft) {
            m_isChanged = m_shares.release(heartbeat.from) || m_isChanged;
            publish(out);
        } else {
            // The sender may not know that it was removed. The acknowledged epoch in the answer tells it.
            sendHeartbeat(heartbeat.from, out);
        }
        return;
    }
    Peer &peer = m_peers[heartbeat.from];
    if (heartbeat.sequence <= peer.lastSequence) {
        return;
    }
    peer.lastSequence = heartbeat.sequence;
    peer.lastHeartbeatAt = now;
    peer.spares = heartbeat.spares;
    const bool isOutdated = m_peerEpoch > m_shares.epoch().number;
    if (m_suspendedSince && !isOutdated && heartbeat.echo > m_sequenceWhenSuspended) {
        resume();
    }
    const bool isShareChanged = m_shares.acknowledge(heartbeat.from, heartbeat.acknowledged, now);
    const bool isLeft = heartbeat.hasLeft && m_shares.release(heartbeat.from);
    m_isChanged = m_isChanged || isShareChanged || isLeft;
    publish(out);
}

void SlotLedger::receiveFrom(const BorrowRequest &request, Base::Instant now, SlotDecisions &out)
{
    Peer &peer = m_peers[request.from];
    const bool isRefusing = m_suspendedSince || m_isLeaving;
    if (!m_shares.epoch().hasMember(request.from) || isRefusing || request.sequence <= peer.lastSequence) {
        return;
    }
    peer.lastSequence = request.sequence;
    const std::vector<Loan> loans = chooseLoans(request);
    const Base::Duration term = std::min(request.term, m_limits.longLoanTerm);
    const Base::Instant until = now + scaled(term, 1 + m_limits.clockDrift);
    for (const Loan &it : loans) {
        m_lent.lend(request.from, it, request.sequence, until);
    }
    m_isChanged = true;
    publish(out);
    out.messages.push_back({request.from, LoanGrant{m_self, request.sequence, request.pool, loans}});
}

void SlotLedger::receiveFrom(const LoanGrant &grant, Base::Instant now, SlotDecisions &out)
{
    const auto it = std::find_if(m_sent.begin(), m_sent.end(), [&grant](const SentRequest &request) {
        return request.sequence == grant.sequence && request.lender == grant.from
            && request.pool == grant.pool;
    });
    if (it == m_sent.end()) {
        return;
    }
    const Base::Instant until = it->at + scaled(it->term, 1 - m_limits.clockDrift);
    // Answers to earlier requests to this lender are outdated and ignored from now on.
    std::erase_if(m_sent, [&grant](const SentRequest &request) {
        return request.lender == grant.from && request.pool == grant.pool
            && request.sequence <= grant.sequence;
    });
    if (until > now) {
        m_borrowed.replace(grant.from, grant.pool, grant.loans, until);
        m_isChanged = true;
        publish(out);
    }
}

void SlotLedger::receiveFrom(const LoanReturn &message, Base::Instant /*now*/, SlotDecisions &out)
{
    // Requests that were sent before this message and arrive after it are ignored.
    const auto peer = m_peers.find(message.from);
    if (peer != m_peers.end()) {
        peer->second.lastSequence = std::max(peer->second.lastSequence, message.sequence);
    }
    for (const TargetSpec &it : m_targets) {
        if (it.pool == message.pool) {
            m_lent.releaseGrants(message.from, it.instance, message.sequence);
        }
    }
    m_isChanged = true;
    publish(out);
}

// Slots that the borrower already has are granted first, so that a renewal keeps them on the same targets.
// Further slots come from the targets with the most free slots.
std::vector<Loan> SlotLedger::chooseLoans(const BorrowRequest &request) const
{
    struct Candidate {
        std::size_t target = 0;
        std::int64_t room = 0;
        std::int64_t granted = 0;
    };
    const auto pool = m_pools.find(request.pool);
    if (pool == m_pools.end()) {
        return {};
    }
    std::vector<Candidate> candidates;
    std::int64_t renewable = 0;
    for (const std::size_t n : pool->second.targets) {
        const auto lent = std::int64_t{m_lent.lentTo(request.from, m_targets[n].instance)};
        const auto room = std::int64_t{ownSlots(n)} + lent - m_use(m_targets[n].id).inFlight;
        candidates.push_back({n, std::min<std::int64_t>(room, m_targets[n].slots), lent});
        renewable += lent;
    }
    std::int64_t left = std::min<std::int64_t>(request.slots, renewable + spareSlots(pool->second));
    for (Candidate &it : candidates) {
        it.granted = std::max<std::int64_t>(0, std::min({it.granted, it.room, left}));
        left -= it.granted;
    }
    const auto hasLessRoom = [](const Candidate &a, const Candidate &b) {
        return a.room - a.granted < b.room - b.granted;
    };
    while (left > 0) {
        const auto idlest = std::max_element(candidates.begin(), candidates.end(), hasLessRoom);
        if (idlest->room <= idlest->granted) {
            break;
        }
        ++idlest->granted;
        --left;
    }
    std::vector<Loan> loans;
    for (const Candidate &it : candidates) {
        if (it.granted > 0) {
            loans.push_back({m_targets[it.target].instance, static_cast<std::uint32_t>(it.granted)});
        }
    }
    return loans;
}

void SlotLedger::sendHeartbeats(SlotDecisions &out)
{
    for (const Member &it : m_shares.epoch().members) {
        if (it.name != m_self) {
            sendHeartbeat(it.name, out);
        }
    }
}

void SlotLedger::sendHeartbeat(const Base::MemberName &to, SlotDecisions &out)
{
    SlotHeartbeat heartbeat{m_self, ++m_sequence, 0, m_acknowledged, m_hasLeft, {}};
    const auto peer = m_peers.find(to);
    heartbeat.echo = peer == m_peers.end() ? 0 : peer->second.lastSequence;
    for (const auto &[name, pool] : m_pools) {
        const auto spare = std::max<std::int64_t>(0, spareSlots(pool));
        heartbeat.spares.push_back({name, static_cast<std::uint32_t>(spare)});
    }
    out.messages.push_back({to, std::move(heartbeat)});
}

void SlotLedger::borrow(const Base::PoolName &name, PoolUse &pool, Base::Instant now, SlotDecisions &out)
{
    std::uint32_t own = 0;
    std::uint32_t declared = 0;
    for (const std::size_t n : pool.targets) {
        own += ownSlots(n);
        declared += m_targets[n].slots;
    }
    // Without own slots, the loans have to cover requests of any duration.
    const bool isLong = !hasShare(pool);
    const Base::Duration term = isLong ? m_limits.longLoanTerm : m_limits.loanTerm;
    if (pool.isBorrowing && pool.demand == 0) {
        returnLoans(name, pool, out);
        return;
    }
    pool.isBorrowing = pool.isBorrowing || (isLong && pool.demand > 0);
    const auto headroom = static_cast<std::uint32_t>(std::ceil(own * m_limits.headroom));
    const std::uint32_t wanted = std::min(declared, pool.demand + headroom);
    std::uint32_t needed = wanted > own ? wanted - own : 0;
    for (const Base::MemberName &lender : lendersOf(name, now)) {
        const std::uint32_t available = spareOf(lender, name) + m_borrowed.borrowedFrom(lender, name);
        const std::uint32_t asked = std::min(needed, available);
        if (asked == 0) {
            continue;
        }
        needed -= asked;
        m_sent.push_back({++m_sequence, lender, name, now, term});
        out.messages.push_back({lender, BorrowRequest{m_self, m_sequence, name, asked, term}});
    }
    while (m_sent.size() > MaxSentRequests) {
        m_sent.pop_front();
    }
}

bool SlotLedger::hasShare(const PoolUse &pool) const
{
    return std::any_of(pool.targets.begin(), pool.targets.end(), [this](std::size_t n) {
        return m_shares.slotsOf(n) > 0 || baseShare(m_targets[n], m_shares.epoch(), m_self) > 0;
    });
}

// Long loans are returned when they are idle. Grants that arrive later are ignored.
void SlotLedger::returnLoans(const Base::PoolName &name, PoolUse &pool, SlotDecisions &out)
{
    const bool isIdle = std::all_of(pool.targets.begin(), pool.targets.end(), [this](std::size_t n) {
        return m_use(m_targets[n].id).inFlight == 0;
    });
    if (!isIdle) {
        return;
    }
    pool.isBorrowing = false;
    std::erase_if(m_sent, [&name](const SentRequest &it) { return it.pool == name; });
    for (const auto &[lender, peer] : m_peers) {
        if (m_borrowed.borrowedFrom(lender, name) > 0) {
            m_borrowed.replace(lender, name, {}, m_now);
        }
        out.messages.push_back({lender, LoanReturn{m_self, ++m_sequence, name}});
    }
    m_isChanged = true;
    publish(out);
}

// Current lenders come first, then the peers with the most spare slots.
std::vector<Base::MemberName> SlotLedger::lendersOf(const Base::PoolName &pool, Base::Instant now) const
{
    std::vector<Base::MemberName> lenders;
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.lastHeartbeatAt < m_limits.loanTerm) {
            lenders.push_back(name);
        }
    }
    const auto rank = [&](const Base::MemberName &name) {
        return std::pair{m_borrowed.borrowedFrom(name, pool), spareOf(name, pool)};
    };
    std::stable_sort(
        lenders.begin(), lenders.end(), [&](const auto &a, const auto &b) { return rank(a) > rank(b); });
    return lenders;
}

std::uint32_t SlotLedger::spareOf(const Base::MemberName &peer, const Base::PoolName &pool) const
{
    const auto &spares = m_peers.at(peer).spares;
    const auto it = std::find_if(
        spares.begin(), spares.end(), [&pool](const SpareSlots &spare) { return spare.pool == pool; });
    return it == spares.end() ? 0 : it->slots;
}

// Own slots that are not lent. After a change of membership, more slots may be lent than the member still
// owns.
std::uint32_t SlotLedger::ownSlots(std::size_t target) const
{
    const std::uint32_t slots = m_shares.slotsOf(target);
    return slots - std::min(slots, m_lent.lentOf(m_targets[target].instance));
}

// Slots in use by batch requests count as spare, because the foreground requests of peers take precedence.
// One slot is kept while batch requests wait and none is in flight.
std::int64_t SlotLedger::spareSlots(const PoolUse &pool) const
{
    if (m_isLeaving) {
        return 0;
    }
    std::int64_t own = 0;
    for (const std::size_t n : pool.targets) {
        own += ownSlots(n);
    }
    const auto taken = static_cast<std::int64_t>(std::floor(pool.meanForeground));
    return own - taken - (pool.isBatchWaiting ? 1 : 0);
}

// Requests that may end after the borrowed slots expire have to fit the own slots.
bool SlotLedger::isWithinShare() const
{
    return std::all_of(m_targets.begin(), m_targets.end(), [this](const TargetSpec &it) {
        const TargetUse use = m_use(it.id);
        const std::uint32_t lent = m_lent.lentOf(it.instance);
        const std::uint32_t borrowed = m_borrowed.borrowedOf(it.instance).borrowed;
        const std::uint32_t share = baseShare(it, m_shares.epoch(), m_self);
        return use.beyondLoan + lent <= share && use.inFlight + lent <= share + borrowed;
    });
}

bool SlotLedger::isIdle() const
{
    return std::all_of(m_targets.begin(), m_targets.end(), [this](const TargetSpec &it) {
        return m_use(it.id).inFlight == 0 && m_lent.lentOf(it.instance) == 0;
    });
}

void SlotLedger::publish(SlotDecisions &out)
{
    if (!std::exchange(m_isChanged, false)) {
        return;
    }
    const bool isFullUpdate = m_published.size() != m_targets.size();
    m_published.resize(m_targets.size());
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        Allowance allowance = m_borrowed.borrowedOf(m_targets[n].instance);
        allowance.slots = ownSlots(n);
        allowance = m_suspendedSince || m_isLeaving ? Allowance{} : allowance;
        if (isFullUpdate || allowance != m_published[n]) {
            m_published[n] = allowance;
            out.allowances.push_back({m_targets[n].id, allowance});
        }
    }
}

} // namespace Scheduling
