#include <scheduling/slotledger.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Scheduling::Allowance;
using Scheduling::Member;
using Scheduling::MembershipEpoch;
using Scheduling::SlotDecisions;
using Scheduling::SlotLedger;
using Scheduling::SlotMessage;
using Scheduling::SlotSharingLimits;
using Scheduling::TargetId;
using Scheduling::TargetSpec;
using Scheduling::TargetUse;

namespace
{

constexpr std::uint64_t Histories = 30;
constexpr std::uint32_t Nodes = 6;
constexpr std::uint32_t Targets = 6;
constexpr std::uint32_t Slots = 8;
constexpr auto Step = 5ms;
constexpr auto Length = 40s;
constexpr auto LongestRequest = 3s;
const Base::PoolName Pool{"proofs"};
const std::array<const char *, 3> Zones{"a", "b", "c"};

std::vector<TargetSpec> makeTargets()
{
    std::vector<TargetSpec> targets;
    for (std::uint32_t n = 0; n < Targets; ++n) {
        const Base::InstanceName instance{"instance" + std::to_string(n)};
        targets.push_back({TargetId{n}, instance, Pool, {Zones[n % 2]}, Slots, 64, false});
    }
    return targets;
}

// Nodes 0 and 2 are in one zone, nodes 1, 3 and 4 in another, and node 5 in a zone without targets.
std::size_t zoneOf(std::uint32_t n)
{
    constexpr std::array<std::size_t, Nodes> NodeZones{0, 1, 0, 1, 1, 2};
    return NodeZones[n];
}

Member makeMember(std::uint32_t n)
{
    return {{"entry" + std::to_string(n)}, {Zones[zoneOf(n)]}};
}

/// Naive baseline: all slots that the other members didn't report as used are considered free.
class CountingLedger
{
public:
    CountingLedger(const SlotSharingLimits & /*limits*/, Base::MemberName self, SlotLedger::UseOf use)
        : m_self(std::move(self))
        , m_use(std::move(use))
    {
    }

    void setTargets(std::span<const TargetSpec> targets, Base::Instant /*now*/, SlotDecisions &out)
    {
        for (const TargetSpec &it : targets) {
            out.allowances.push_back({it.id, {it.slots, 0, {}}});
        }
    }

    void setEpoch(const MembershipEpoch &epoch, Base::Instant /*now*/, SlotDecisions & /*out*/)
    {
        m_epoch = epoch;
    }

    void updateDemand(std::span<const Scheduling::PoolStatistics> /*pools*/,
                      Base::Instant /*now*/,
                      SlotDecisions &out)
    {
        Scheduling::LoanGrant counts{m_self, 0, Pool, {}};
        for (std::uint32_t n = 0; n < Targets; ++n) {
            counts.loans.push_back({{}, m_use(TargetId{n}).inFlight});
        }
        for (const Member &it : m_epoch.members) {
            out.messages.push_back({it.name, counts});
        }
    }

    void receive(const SlotMessage &message, Base::Instant /*now*/, SlotDecisions &out)
    {
        const auto &counts = std::get<Scheduling::LoanGrant>(message);
        if (counts.from == m_self) {
            return;
        }
        m_counts[counts.from] = counts.loans;
        for (std::uint32_t n = 0; n < Targets; ++n) {
            std::uint32_t others = 0;
            for (const auto &[from, loans] : m_counts) {
                others += loans[n].slots;
            }
            out.allowances.push_back({TargetId{n}, {Slots - std::min(Slots, others), 0, {}}});
        }
    }

    void leave(Base::Instant /*now*/, SlotDecisions & /*out*/)
    {
    }

    void advance(Base::Instant /*now*/, SlotDecisions & /*out*/)
    {
    }

private:
    Base::MemberName m_self;
    SlotLedger::UseOf m_use;
    MembershipEpoch m_epoch;
    std::map<Base::MemberName, std::vector<Scheduling::Loan>> m_counts;
};

/// Simulates entry instances that have their own clocks and use all slots they are allowed to. Messages are
/// delayed, reordered or lost. Members join, crash, are removed or paused, and the network is partitioned.
template<typename Ledger>
class SharingHistory
{
public:
    explicit SharingHistory(std::uint64_t seed)
        : m_random(seed)
        , m_targets(makeTargets())
        , m_nodes(Nodes)
    {
        SlotSharingLimits limits;
        limits.longLoanTerm = LongestRequest + 500ms;
        limits.fencingPeriod = limits.longLoanTerm + limits.staleAfter;
        for (std::uint32_t n = 0; n < Nodes; ++n) {
            Node &node = m_nodes[n];
            node.offset = Base::Duration{draw(1'000'000'000)};
            node.rate = 1 + (static_cast<double>(draw(800)) - 400) / 1e6;
            node.ledger = std::make_unique<Ledger>(
                limits, makeMember(n).name, [this, n](TargetId id) { return m_nodes[n].use[id.value]; });
        }
        plan();
    }

    void run()
    {
        for (; m_now < Base::instantAt(Length); m_now += Step) {
            endAttempts();
            deliver();
            for (std::uint32_t n = 0; n < Nodes; ++n) {
                if (isRunning(n)) {
                    act(n);
                }
            }
            check();
        }
    }

    std::uint32_t maxOvercommitted() const
    {
        return m_maxOvercommitted;
    }

    std::uint64_t loansUsed() const
    {
        return m_loansUsed;
    }

    std::uint64_t longRequestsOnLoans() const
    {
        return m_longRequestsOnLoans;
    }

private:
    struct Attempt {
        std::uint32_t node = 0;
        std::uint32_t target = 0;
        bool endsWithinLoan = false;
        Base::Instant endsAt;
    };
    struct Node {
        std::unique_ptr<Ledger> ledger;
        Base::Duration offset{};
        double rate = 1;
        std::uint64_t knownEpoch = 0;
        std::array<Allowance, Targets> allowances;
        std::array<TargetUse, Targets> use;
    };
    struct PendingMessage {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        SlotMessage message;
    };

    std::uint64_t draw(std::uint64_t bound)
    {
        return m_random() % bound;
    }

    // Node 4 joins. Node 3 crashes and is removed, in half of the histories after it tried to leave. Node 2
    // is paused, and removed during the pause in half of the histories. The zones are partitioned for a
    // while.
    void plan()
    {
        m_isLeaving = draw(2) == 0;
        m_pauseFrom = Base::instantAt(20s + 1ms * draw(2000));
        m_pauseUntil = m_pauseFrom + 500ms + 1ms * draw(9000);
        m_partitionFrom = Base::instantAt(30s);
        m_partitionUntil = Base::instantAt(34s);
        const bool isRemoved = draw(2) == 0;
        // In half of the histories, node 4 joins while requests of node 3 may still be in flight.
        const bool isJoinLate = draw(2) == 0;
        m_joinAt = Base::instantAt(isJoinLate ? Base::Duration{10'400ms} : Base::Duration{5s});
        const auto join = isJoinLate ? epochOf({0, 1, 2, 4, 5}) : epochOf({0, 1, 2, 3, 4, 5});
        m_epochs.push_back({Base::instantAt(0s), epochOf({0, 1, 2, 3, 5})});
        if (isJoinLate) {
            m_epochs.push_back({Base::instantAt(10'200ms), epochOf({0, 1, 2, 5})});
        }
        // A joining member doesn't know earlier epochs.
        m_nodes[4].knownEpoch = m_epochs.size();
        m_epochs.push_back({m_joinAt, join});
        m_epochs.push_back({Base::instantAt(12s), epochOf({0, 1, 2, 4, 5})});
        if (isRemoved) {
            m_epochs.push_back({m_pauseFrom + 1s, epochOf({0, 1, 4, 5})});
        }
        for (std::size_t n = 0; n < m_epochs.size(); ++n) {
            m_epochs[n].epoch.number.value = n + 1;
        }
    }

    MembershipEpoch epochOf(std::initializer_list<std::uint32_t> nodes) const
    {
        MembershipEpoch epoch;
        for (const std::uint32_t n : nodes) {
            epoch.members.push_back(makeMember(n));
        }
        return epoch;
    }

    bool isRunning(std::uint32_t n) const
    {
        const bool isPaused = n == 2 && m_now >= m_pauseFrom && m_now < m_pauseUntil;
        const bool isDead = n == 3 && m_now >= Base::instantAt(10s);
        const bool isJoined = n != 4 || m_now >= m_joinAt;
        return isJoined && !isDead && !isPaused;
    }

    Base::Instant clockOf(std::uint32_t n) const
    {
        const auto elapsed = static_cast<double>(m_now.time_since_epoch().count()) * m_nodes[n].rate;
        return Base::instantAt(m_nodes[n].offset + Base::Duration{static_cast<Base::Duration::rep>(elapsed)});
    }

    void act(std::uint32_t n)
    {
        Node &node = m_nodes[n];
        SlotDecisions out;
        if (m_now == Base::instantAt(0s) || (n == 4 && m_now == m_joinAt)) {
            node.ledger->setTargets(m_targets, clockOf(n), out);
        }
        node.ledger->advance(clockOf(n), out);
        if (m_isLeaving && n == 3 && m_now >= Base::instantAt(8s)) {
            node.ledger->leave(clockOf(n), out);
        }
        // The members learn about epochs late and at different times.
        while (node.knownEpoch < m_epochs.size() && m_epochs[node.knownEpoch].at <= m_now && draw(60) == 0) {
            node.ledger->setEpoch(m_epochs[node.knownEpoch++].epoch, clockOf(n), out);
        }
        if (m_now.time_since_epoch() % 50ms == 0ms) {
            Scheduling::PoolStatistics pool;
            pool.pool = Pool;
            // The demand shifts from node to node.
            pool.busyForeground = isSurging(n) ? busy(n) : 0;
            pool.queuedForeground = isSurging(n) ? 40 : 0;
            node.ledger->updateDemand({&pool, 1}, clockOf(n), out);
        }
        apply(n, out);
        start(n);
    }

    bool isSurging(std::uint32_t n) const
    {
        return (m_now.time_since_epoch() / 3s) % Nodes == n;
    }

    std::uint32_t busy(std::uint32_t n) const
    {
        std::uint32_t sum = 0;
        for (const TargetUse &it : m_nodes[n].use) {
            sum += it.inFlight;
        }
        return sum;
    }

    void apply(std::uint32_t n, const SlotDecisions &decisions)
    {
        for (const auto &it : decisions.allowances) {
            m_nodes[n].allowances[it.target.value] = it.allowance;
        }
        for (const auto &it : decisions.messages) {
            for (std::uint32_t to = 0; to < Nodes; ++to) {
                const bool isPartitioned =
                    m_now >= m_partitionFrom && m_now < m_partitionUntil && zoneOf(to) != zoneOf(n);
                if (makeMember(to).name == it.to && draw(20) > 0 && !isPartitioned) {
                    const auto delay = 1ms + 1ms * draw(draw(10) == 0 ? 400 : 20);
                    m_pendingMessages.emplace(m_now + delay, PendingMessage{n, to, it.message});
                }
            }
        }
    }

    void deliver()
    {
        std::multimap<Base::Instant, PendingMessage> later;
        while (!m_pendingMessages.empty() && m_pendingMessages.begin()->first <= m_now) {
            const PendingMessage pending =
                std::move(m_pendingMessages.extract(m_pendingMessages.begin()).mapped());
            if (isRunning(pending.to)) {
                SlotDecisions out;
                m_nodes[pending.to].ledger->receive(pending.message, clockOf(pending.to), out);
                apply(pending.to, out);
            } else if (pending.to == 2) {
                later.emplace(m_pauseUntil + Step, pending);
            }
        }
        m_pendingMessages.merge(later);
    }

    // Like the scheduler, starts no more requests that may end after the loans expire than there are own
    // slots.
    void start(std::uint32_t n)
    {
        // Node 5 starts no requests between its surges, so that it returns its loans.
        if (n == 5 && !isSurging(n)) {
            return;
        }
        Node &node = m_nodes[n];
        const Base::Instant now = clockOf(n);
        for (std::uint32_t target = 0; target < Targets; ++target) {
            const Allowance &allowance = node.allowances[target];
            TargetUse &use = node.use[target];
            const auto longest = draw(4) == 0 ? Base::Duration{LongestRequest} : Base::Duration{500ms};
            const Base::Duration runTime =
                Base::Duration{1 + draw(static_cast<std::uint64_t>(longest.count()))};
            const bool endsWithinLoan = allowance.borrowed > 0 && now + longest <= allowance.borrowedUntil;
            const bool isAllowed = use.beyondLoan < allowance.slots || endsWithinLoan;
            if (isAllowed && use.inFlight < std::min(allowance.slots + allowance.borrowed, Slots)) {
                ++use.inFlight;
                use.beyondLoan += endsWithinLoan ? 0 : 1;
                m_loansUsed += endsWithinLoan ? 1 : 0;
                m_longRequestsOnLoans += endsWithinLoan && runTime > 1s ? 1 : 0;
                m_attempts.push_back({n, target, endsWithinLoan, m_now + runTime});
            }
        }
    }

    void endAttempts()
    {
        std::erase_if(m_attempts, [this](const Attempt &it) {
            if (it.endsAt > m_now) {
                return false;
            }
            TargetUse &use = m_nodes[it.node].use[it.target];
            --use.inFlight;
            use.beyondLoan -= it.endsWithinLoan ? 0 : 1;
            return true;
        });
    }

    void check()
    {
        for (std::uint32_t target = 0; target < Targets; ++target) {
            std::uint32_t sum = 0;
            for (const Node &it : m_nodes) {
                sum += it.use[target].inFlight;
            }
            m_maxOvercommitted = std::max(m_maxOvercommitted, sum > Slots ? sum - Slots : 0);
        }
    }

    std::mt19937_64 m_random;
    std::vector<TargetSpec> m_targets;
    std::vector<Node> m_nodes;
    struct PlannedEpoch {
        Base::Instant at;
        MembershipEpoch epoch;
    };
    std::vector<PlannedEpoch> m_epochs;
    std::multimap<Base::Instant, PendingMessage> m_pendingMessages;
    std::vector<Attempt> m_attempts;
    Base::Instant m_now;
    bool m_isLeaving = false;
    Base::Instant m_joinAt;
    Base::Instant m_pauseFrom;
    Base::Instant m_pauseUntil;
    Base::Instant m_partitionFrom;
    Base::Instant m_partitionUntil;
    std::uint32_t m_maxOvercommitted = 0;
    std::uint64_t m_loansUsed = 0;
    std::uint64_t m_longRequestsOnLoans = 0;
};

} // namespace

TEST_GROUP(SlotLedger){};

TEST(SlotLedger, RandomHistoriesOverCommitNoSlot)
{
    for (std::uint64_t seed = 1; seed <= Histories; ++seed) {
        SharingHistory<SlotLedger> history(seed);
        history.run();
        const std::string text = "seed " + std::to_string(seed);
        LONGS_EQUAL_TEXT(0, history.maxOvercommitted(), text.c_str());
        CHECK_TEXT(history.loansUsed() > 0, text.c_str());
        CHECK_TEXT(history.longRequestsOnLoans() > 0, text.c_str());
    }
}

TEST(SlotLedger, CountingLedgerOverCommits)
{
    SharingHistory<CountingLedger> naive(1);
    naive.run();
    CHECK(naive.maxOvercommitted() > 0);
}

TEST(SlotLedger, SharesOfATargetAddUpToItsSlots)
{
    MembershipEpoch epoch{{1}, {makeMember(0), makeMember(1), makeMember(2), makeMember(3), makeMember(4)}};
    for (const TargetSpec &it : makeTargets()) {
        std::uint32_t sum = 0;
        for (const Member &member : epoch.members) {
            sum += baseShare(it, epoch, member.name);
        }
        LONGS_EQUAL(Slots, sum);
    }
    const std::vector<Member> others{makeMember(1), makeMember(3)};
    epoch.members = others;
    const auto share = baseShare(makeTargets().front(), epoch, others.front().name);
    LONGS_EQUAL(Slots / 2, share);
}

TEST(SlotLedger, SlotsOfAMemberThatLeftAreReassignedWithoutWaiting)
{
    TargetUse leaverUse{1, 1};
    SlotLedger leaver({}, makeMember(1).name, [&](TargetId) { return leaverUse; });
    SlotLedger survivor({}, makeMember(3).name, [](TargetId) { return TargetUse{}; });
    const std::vector<TargetSpec> targets{makeTargets()[1]};
    const MembershipEpoch both{{1}, {makeMember(1), makeMember(3)}};
    const MembershipEpoch one{{2}, {makeMember(3)}};
    SlotDecisions fromLeaver;
    SlotDecisions fromSurvivor;
    leaver.setTargets(targets, Base::instantAt(0s), fromLeaver);
    survivor.setTargets(targets, Base::instantAt(0s), fromSurvivor);
    leaver.setEpoch(both, Base::instantAt(0s), fromLeaver);
    survivor.setEpoch(both, Base::instantAt(0s), fromSurvivor);
    const auto exchange = [&](Base::Duration at) {
        leaver.advance(Base::instantAt(at), fromLeaver);
        survivor.advance(Base::instantAt(at), fromSurvivor);
        for (const auto &it : std::exchange(fromLeaver.messages, {})) {
            survivor.receive(it.message, Base::instantAt(at), fromSurvivor);
        }
        for (const auto &it : std::exchange(fromSurvivor.messages, {})) {
            leaver.receive(it.message, Base::instantAt(at), fromLeaver);
        }
    };
    leaverUse = {};
    exchange(0s);
    exchange(300ms);
    LONGS_EQUAL(Slots / 2, fromSurvivor.allowances.back().allowance.slots);
    leaverUse = {1, 1};
    leaver.leave(Base::instantAt(400ms), fromLeaver);
    LONGS_EQUAL(0, fromLeaver.allowances.back().allowance.slots);
    exchange(700ms);
    survivor.setEpoch(one, Base::instantAt(700ms), fromSurvivor);
    LONGS_EQUAL(Slots / 2, fromSurvivor.allowances.back().allowance.slots);
    CHECK(!leaver.hasLeft());
    leaverUse = {};
    exchange(1s);
    CHECK(leaver.hasLeft());
    LONGS_EQUAL(Slots, fromSurvivor.allowances.back().allowance.slots);
}

TEST(SlotLedger, AGrantReceivedAfterTheReturnIsIgnored)
{
    SlotLedger ledger({}, makeMember(5).name, [](TargetId) { return TargetUse{}; });
    const Base::MemberName lender = makeMember(1).name;
    const std::vector<TargetSpec> targets{makeTargets()[1]};
    SlotDecisions out;
    ledger.setTargets(targets, Base::instantAt(0s), out);
    ledger.setEpoch({{1}, {makeMember(1), makeMember(5)}}, Base::instantAt(0s), out);
    ledger.receive(
        Scheduling::SlotHeartbeat{lender, 1, 0, {1}, false, {{Pool, 4}}}, Base::instantAt(0s), out);
    Scheduling::PoolStatistics demand;
    demand.pool = Pool;
    demand.queuedForeground = 1;
    out = {};
    ledger.updateDemand({&demand, 1}, Base::instantAt(10ms), out);
    const auto request = std::get<Scheduling::BorrowRequest>(out.messages.back().message);
    CHECK(request.term == SlotSharingLimits{}.longLoanTerm);
    demand.queuedForeground = 0;
    ledger.updateDemand({&demand, 1}, Base::instantAt(60ms), out);
    CHECK(std::get<Scheduling::LoanReturn>(out.messages.back().message).sequence > request.sequence);
    out = {};
    const std::vector<Scheduling::Loan> loans{{targets.front().instance, 1}};
    ledger.receive(Scheduling::LoanGrant{lender, request.sequence, Pool, loans}, Base::instantAt(70ms), out);
    LONGS_EQUAL(0, out.allowances.size());
}
