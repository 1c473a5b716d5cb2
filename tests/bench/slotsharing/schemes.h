#pragma once

#include "naivescheduler.h"
#include "scenario.h"

#include <scheduling/requestscheduler.h>
#include <scheduling/slotledger.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

/// What a scheme sees of its entry instance.
struct EntryView {
    const Scenario &scenario;
    std::uint32_t self = 0;
};

template<typename Message>
struct Envelope {
    std::uint32_t to = 0;
    Message message;
};

/// Round robin without limits.
struct RoundRobin {
    using Scheduler = NaiveScheduler;
    struct Message {
    };
    static constexpr const char *Name = "round robin, no limits";
    static constexpr std::chrono::milliseconds Period{1000};

    RoundRobin(const EntryView & /*entry*/, Scheduler & /*scheduler*/)
    {
    }

    void tick(Base::Instant /*now*/, std::vector<Envelope<Message>> & /*out*/)
    {
    }
    void receive(const Message & /*message*/, Base::Instant /*now*/, std::vector<Envelope<Message>> & /*out*/)
    {
    }
    void setEpoch(const Scheduling::MembershipEpoch & /*epoch*/, Base::Instant /*now*/)
    {
    }
};

/// Power of two choices; the slots are split once over the entry instances.
template<bool isZoneOnly>
struct StaticSplit : RoundRobin {
    using Scheduler = Scheduling::RequestScheduler;
    static constexpr const char *Name = isZoneOnly ? "static split in the zone" : "static split over all";

    StaticSplit(const EntryView &entry, Scheduler &scheduler)
        : RoundRobin(entry, m_unused)
    {
        Scheduling::MembershipEpoch all;
        for (std::uint32_t n = 0; n < Scenario::Entries; ++n) {
            all.members.push_back(entry.scenario.memberOf(n));
        }
        for (const auto &it : entry.scenario.targets()) {
            const std::uint32_t inZone =
                Scheduling::baseShare(it, all, entry.scenario.memberOf(entry.self).name);
            scheduler.setAllowance(it.id, isZoneOnly ? inZone : it.slots / Scenario::Entries);
        }
    }

private:
    NaiveScheduler m_unused;
};

/// Requests in flight per target are told to the zone's other entry instances every 100 ms; what they don't
/// use is free.
class SharedCounts
{
public:
    using Scheduler = Scheduling::RequestScheduler;
    struct Message {
        std::uint32_t from = 0;
        std::vector<std::uint32_t> counts;
    };
    static constexpr const char *Name = "counts shared in the zone";
    static constexpr std::chrono::milliseconds Period{100};

    SharedCounts(const EntryView &entry, Scheduler &scheduler)
        : m_entry(entry)
        , m_scheduler(scheduler)
    {
        allow();
    }

    void tick(Base::Instant /*now*/, std::vector<Envelope<Message>> &out)
    {
        Message message{m_entry.self, {}};
        for (const auto &it : m_entry.scenario.targets()) {
            message.counts.push_back(m_scheduler.usageOf(it.id).inFlight);
        }
        for (std::uint32_t n = 0; n < Scenario::Entries; ++n) {
            if (n != m_entry.self && m_entry.scenario.zoneOf(n) == m_entry.scenario.zoneOf(m_entry.self)) {
                out.push_back({n, message});
            }
        }
    }

    void receive(const Message &message, Base::Instant /*now*/, std::vector<Envelope<Message>> & /*out*/)
    {
        m_counts[message.from] = message.counts;
        allow();
    }

    void setEpoch(const Scheduling::MembershipEpoch &epoch, Base::Instant /*now*/)
    {
        std::erase_if(m_counts, [&](const auto &it) {
            return !epoch.hasMember(m_entry.scenario.memberOf(it.first).name);
        });
    }

private:
    void allow()
    {
        const auto &targets = m_entry.scenario.targets();
        for (std::size_t n = 0; n < targets.size(); ++n) {
            std::uint32_t others = 0;
            for (const auto &[from, counts] : m_counts) {
                others += counts[n];
            }
            const bool isLocal = targets[n].zone == m_entry.scenario.zoneOf(m_entry.self);
            const std::uint32_t left = targets[n].slots - std::min(others, targets[n].slots);
            m_scheduler.setAllowance(targets[n].id, isLocal ? left : 0);
        }
    }

    EntryView m_entry;
    Scheduler &m_scheduler;
    std::map<std::uint32_t, std::vector<std::uint32_t>> m_counts;
};

/// Quotas per period as in WL#9838: each period the slots of a pool are divided by the number of entry
/// instances that used it; a hold percentage is taken off while the pool is overloaded, and a release
/// percentage added per period when it is not.
class PeriodicQuotas
{
public:
    using Scheduler = Scheduling::RequestScheduler;
    struct PoolUse {
        std::uint32_t inFlight = 0;
        std::uint32_t queued = 0;
    };
    struct Message {
        std::uint32_t from = 0;
        std::vector<PoolUse> pools;
    };
    static constexpr const char *Name = "periodic quotas (WL#9838)";
    static constexpr std::chrono::milliseconds Period{250};

    PeriodicQuotas(const EntryView &entry, Scheduler &scheduler)
        : m_entry(entry)
        , m_scheduler(scheduler)
        , m_quota(Scenario::Services, 0)
    {
        for (std::size_t pool = 0; pool < m_quota.size(); ++pool) {
            m_quota[pool] = slotsOf(pool) / Scenario::Entries;
            allow(pool);
        }
    }

    void tick(Base::Instant now, std::vector<Envelope<Message>> &out)
    {
        Message message{m_entry.self, std::vector<PoolUse>(Scenario::Services)};
        for (const auto &it : m_scheduler.statistics().pools) {
            message.pools[poolIndex(it.pool)] = {it.busyForeground + it.busyBatch, it.queuedForeground};
        }
        m_reports[m_entry.self] = {message, now};
        std::erase_if(m_reports, [now](const auto &it) { return now - it.second.at > Period * PeriodsKept; });
        for (std::size_t pool = 0; pool < m_quota.size(); ++pool) {
            updateQuota(pool);
            allow(pool);
        }
        for (std::uint32_t n = 0; n < Scenario::Entries; ++n) {
            if (n != m_entry.self) {
                out.push_back({n, message});
            }
        }
    }

    void receive(const Message &message, Base::Instant now, std::vector<Envelope<Message>> & /*out*/)
    {
        m_reports[message.from] = {message, now};
    }

    void setEpoch(const Scheduling::MembershipEpoch & /*epoch*/, Base::Instant /*now*/)
    {
    }

private:
    static constexpr int PeriodsKept = 10;
    static constexpr double HoldShare = 0.1;
    static constexpr double ReleaseShare = 0.5;

    struct Report {
        Message message;
        Base::Instant at;
    };

    std::size_t poolIndex(const Base::PoolName &name) const
    {
        const auto &services = m_entry.scenario.services();
        const auto it = std::find_if(
            services.begin(), services.end(), [&](const auto &service) { return service.pool == name; });
        return static_cast<std::size_t>(it - services.begin());
    }

    double slotsOf(std::size_t pool) const
    {
        double sum = 0;
        for (const auto &it : m_entry.scenario.targets()) {
            sum += it.pool == m_entry.scenario.services()[pool].pool ? it.slots : 0;
        }
        return sum;
    }

    void updateQuota(std::size_t pool)
    {
        std::uint32_t writers = 0;
        std::uint32_t queued = 0;
        std::uint32_t inFlight = 0;
        for (const auto &[from, report] : m_reports) {
            const PoolUse &use = report.message.pools[pool];
            writers += use.inFlight + use.queued > 0 ? 1 : 0;
            queued += use.queued;
            inFlight += use.inFlight;
        }
        const double slots = slotsOf(pool);
        const double share = slots / std::max(1U, writers);
        const bool isOverloaded = queued > 0 || inFlight > slots;
        m_quota[pool] =
            isOverloaded ? share * (1 - HoldShare) : std::min(slots, m_quota[pool] * (1 + ReleaseShare));
    }

    // The quota is spread over the pool's targets; what doesn't divide goes round with the entry's number.
    void allow(std::size_t pool)
    {
        std::vector<Scheduling::TargetId> targets;
        for (const auto &it : m_entry.scenario.targets()) {
            if (it.pool == m_entry.scenario.services()[pool].pool) {
                targets.push_back(it.id);
            }
        }
        const auto quota = static_cast<std::uint32_t>(std::lround(m_quota[pool]));
        const auto count = static_cast<std::uint32_t>(targets.size());
        for (std::uint32_t n = 0; n < count; ++n) {
            const bool isExtra = (n + m_entry.self) % count < quota % count;
            m_scheduler.setAllowance(targets[n], quota / count + (isExtra ? 1 : 0));
        }
    }

    EntryView m_entry;
    Scheduler &m_scheduler;
    std::vector<double> m_quota;
    std::map<std::uint32_t, Report> m_reports;
};

/// The ledger of own slots and loans, as the daemon uses it. Without loans it shows what the split by
/// membership does alone.
template<bool isLending>
class SlotLeases
{
public:
    using Scheduler = Scheduling::RequestScheduler;
    using Message = Scheduling::SlotMessage;
    static constexpr const char *Name = isLending ? "slot leases" : "slot leases, lending off";
    static constexpr std::chrono::milliseconds Period{50};

    SlotLeases(const EntryView &entry, Scheduler &scheduler)
        : m_entry(entry)
        , m_scheduler(scheduler)
        , m_ledger(limits(), entry.scenario.memberOf(entry.self).name, [&scheduler](Scheduling::TargetId id) {
            return scheduler.usageOf(id);
        })
    {
        Scheduling::SlotDecisions decisions;
        m_ledger.setTargets(entry.scenario.targets(), {}, decisions);
        apply(decisions);
    }

    void tick(Base::Instant now, std::vector<Envelope<Message>> &out)
    {
        Scheduling::SlotDecisions decisions;
        m_ledger.advance(now, decisions);
        if (isLending) {
            m_ledger.updateDemand(m_scheduler.statistics().pools, now, decisions);
        }
        send(decisions, out);
    }

    void receive(const Message &message, Base::Instant now, std::vector<Envelope<Message>> &out)
    {
        Scheduling::SlotDecisions decisions;
        m_ledger.receive(message, now, decisions);
        send(decisions, out);
    }

    void setEpoch(const Scheduling::MembershipEpoch &epoch, Base::Instant now)
    {
        Scheduling::SlotDecisions decisions;
        m_ledger.setEpoch(epoch, now, decisions);
        apply(decisions);
    }

private:
    static Scheduling::SlotSharingLimits limits()
    {
        Scheduling::SlotSharingLimits result;
        result.fencingPeriod = Scenario::BatchDeadline + result.staleAfter;
        result.longLoanTerm = Scenario::BatchDeadline;
        return result;
    }

    void apply(const Scheduling::SlotDecisions &decisions)
    {
        for (const auto &it : decisions.allowances) {
            m_scheduler.setAllowance(it.target, it.allowance);
        }
    }

    void send(const Scheduling::SlotDecisions &decisions, std::vector<Envelope<Message>> &out)
    {
        apply(decisions);
        for (const auto &it : decisions.messages) {
            for (std::uint32_t n = 0; n < Scenario::Entries; ++n) {
                if (m_entry.scenario.memberOf(n).name == it.to) {
                    out.push_back({n, it.message});
                }
            }
        }
    }

    EntryView m_entry;
    Scheduler &m_scheduler;
    Scheduling::SlotLedger m_ledger;
};
