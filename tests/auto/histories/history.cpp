#include "history.h"

#include <boost/leaf/handle_errors.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace Histories
{

namespace
{

constexpr std::size_t InstancesPerRack = 4;
constexpr std::uint32_t SlotsPerInstance = 8;
constexpr std::uint32_t ConnectionsPerInstance = 64;
const Base::AvailabilityZoneName HomeZone{"a"};

Base::PoolName poolName(std::size_t n)
{
    return {fmt::format("pool-{:03}", n)};
}

Base::AvailabilityZoneName zoneName(std::size_t n)
{
    return {std::string(1, static_cast<char>('a' + n))};
}

Document::Instance makeInstance(std::size_t n, std::size_t pools, std::size_t zones)
{
    Document::Instance instance;
    instance.name = {fmt::format("worker-{:05}", n)};
    instance.address = fmt::format("10.{}.{}.{}", n / 65536, n / 256 % 256, n % 256);
    instance.port = 8080;
    instance.zone = zoneName(n % zones);
    instance.rack = {fmt::format("rack-{}-{:04}", instance.zone.value, n / InstancesPerRack / zones)};
    instance.slots = SlotsPerInstance;
    instance.connections = ConnectionsPerInstance;
    instance.pool = poolName(n % pools);
    return instance;
}

Fleet::Charts loadCharts()
{
    return boost::leaf::try_handle_all(
        []() -> boost::leaf::result<Fleet::Charts> {
            return Fleet::Charts::load(RHUBARBCRANK_SHARE "/charts");
        },
        [](const Fleet::ChartMistakes &mistakes) -> Fleet::Charts {
            for (const Ini::Mistake &it : mistakes.mistakes) {
                fmt::print(stderr, "{}\n", Ini::toString(it));
            }
            std::abort();
        },
        []() -> Fleet::Charts { std::abort(); });
}

/// Generates a history; applies each entry to its own fold, which is always at the tail of both streams.
class HistoryGenerator
{
public:
    explicit HistoryGenerator(const HistoryOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_fold(installedCharts(), HomeZone)
    {
    }

    History generate()
    {
        propose(makeFullDelta(makeDocument(m_options.instances, m_options.pools)), {});
        for (int i = 0; i < 3; ++i) {
            join();
        }
        claim();
        while (m_history.common.size() + m_history.zone.size() < m_options.records) {
            appendRandomEntry();
        }
        return std::move(m_history);
    }

private:
    const Fleet::FleetState &state() const
    {
        return m_fold.state();
    }

    std::size_t randomBelow(std::size_t n)
    {
        return n == 0 ? 0 : static_cast<std::size_t>(m_random() % n);
    }

    bool occursWithPercent(unsigned percent)
    {
        return randomBelow(100) < percent;
    }

    template<typename Items>
    auto randomItem(const Items &items)
    {
        auto it = items.begin();
        std::advance(it, randomBelow(items.size()));
        return it;
    }

    std::string nextId()
    {
        return fmt::format("r-{}", ++m_ids);
    }

    Fleet::ActionId nextAction()
    {
        return {fmt::format("a-{}", ++m_ids)};
    }

    void appendCommon(Fleet::Entry entry)
    {
        entry.offset.value = m_history.common.size() + 1;
        m_fold.applyCommon(entry);
        m_history.common.push_back(std::move(entry));
    }

    void appendZone(Fleet::Entry entry)
    {
        entry.offset.value = m_history.zone.size() + 1;
        m_fold.applyZone(entry);
        m_history.zone.push_back(std::move(entry));
    }

    void append(Fleet::Event event, Base::MemberName author, Fleet::Offset term)
    {
        Fleet::Record record{
            nextId(), std::move(author), term, state().commonAppliedTo, std::move(event), {}};
        if (occursWithPercent(m_options.staleAuthors)) {
            record.documentOffset.value -=
                std::min<std::uint64_t>(record.documentOffset.value, randomBelow(4));
        }
        appendZone({{}, std::move(record)});
    }

    void propose(Document::Delta delta, Fleet::Offset base)
    {
        Fleet::Record record =
            makeRecord(nextId(), Fleet::EditProposed{base, "operator", "", std::move(delta), {}});
        appendCommon({{}, std::move(record)});
    }

    void join()
    {
        const Base::MemberName member{fmt::format("member-{}", ++m_ids)};
        append(Fleet::MemberJoined{member, HomeZone}, member, {});
    }

    void claim()
    {
        if (state().members.empty()) {
            return;
        }
        const Base::MemberName holder = randomItem(state().members)->first;
        const Fleet::Offset term =
            occursWithPercent(m_options.staleAuthors) ? m_previousTerm : currentTerm(state());
        m_previousTerm = currentTerm(state());
        append(Fleet::PlannerClaimed{HomeZone, holder, term}, holder, {});
    }

    void decide(Fleet::Event event)
    {
        const auto lease = state().planners.find(HomeZone);
        if (lease == state().planners.end()) {
            return;
        }
        const bool isPaused = occursWithPercent(m_options.staleAuthors) && m_previousTerm.value != 0;
        append(std::move(event), lease->second.holder, isPaused ? m_previousTerm : lease->second.term);
    }

    void appendRandomEntry()
    {
        if (occursWithPercent(m_options.damages)) {
            appendDamagedEntry();
            return;
        }
        if (occursWithPercent(m_options.repeats)) {
            repeatEntry();
            return;
        }
        const std::size_t n = randomBelow(100);
        if (n < 20) {
            edit();
        } else if (n < 24) {
            changeMembers();
        } else if (n < 27) {
            claim();
        } else if (n < 45) {
            startAction();
        } else if (n < 75) {
            acknowledge();
        } else if (n < 90) {
            advanceActionOrWave();
        } else {
            changeInstanceHealth();
        }
    }

    void appendDamagedEntry()
    {
        if (randomBelow(2) == 0) {
            appendCommon({{}, Fleet::DamagedRecord{"torn"}});
        } else {
            appendZone({{}, Fleet::DamagedRecord{"torn"}});
        }
    }

    void repeatEntry()
    {
        if (randomBelow(2) == 0) {
            appendCommon(*randomItem(m_history.common));
        } else {
            appendZone(*randomItem(m_history.zone));
        }
    }

    void edit()
    {
        Fleet::Offset base = state().documentOffset;
        if (occursWithPercent(m_options.staleAuthors)) {
            base.value -= std::min<std::uint64_t>(base.value, 1 + randomBelow(3));
        }
        propose(randomDelta(), base);
    }

    Document::Delta randomDelta()
    {
        const Document::Document &document = state().document;
        Document::Delta delta;
        const std::size_t n = randomBelow(10);
        if (n < 2 || document.instances.empty()) {
            Document::Instance instance =
                makeInstance(m_options.instances + randomBelow(8), m_options.pools, 1);
            instance.zone = zoneName(randomBelow(2));
            delta.setInstances.push_back(std::move(instance));
        } else if (n < 4) {
            delta.removedInstances.push_back(randomItem(document.instances)->name);
        } else if (n < 7) {
            Document::Instance instance = *randomItem(document.instances);
            instance.pool = document.pools.empty() ? instance.pool : randomItem(document.pools)->name;
            delta.setInstances.push_back(std::move(instance));
        } else if (n < 8 && document.pools.size() > 2) {
            delta.removedPools.push_back(randomItem(document.pools)->name);
        } else if (n < 9) {
            delta.setPools.push_back({poolName(randomBelow(m_options.pools + 2)), randomBelow(2) == 0});
        } else {
            Document::Instance instance = *randomItem(document.instances);
            instance.slots += 1;
            delta.setInstances.push_back(std::move(instance));
        }
        return delta;
    }

    void changeMembers()
    {
        if (state().members.size() < 3 || randomBelow(2) == 0) {
            join();
            return;
        }
        const Base::MemberName member = randomItem(state().members)->first;
        append(Fleet::MemberLeft{member, "stopped"}, member, {});
    }

    void startAction()
    {
        if (state().instances.empty() || state().document.pools.empty()) {
            return;
        }
        const Fleet::InstanceState &instance = randomItem(state().instances)->second;
        const bool hasWave =
            !state().waves.empty() && state().waves.begin()->second.phase == Fleet::WavePhase::Running;
        const std::size_t n = randomBelow(10);
        if (n < 1) {
            decide(Fleet::PlannerObserved{});
        } else if (n < 6) {
            const Base::PoolName to = randomItem(state().document.pools)->name;
            decide(Fleet::MoveStarted{nextAction(), instance.declared.name, instance.pool, to, "shift"});
        } else if (hasWave) {
            const Fleet::ActionId wave = state().waves.begin()->first;
            decide(Fleet::MaintenanceStarted{nextAction(), wave, instance.declared.name, "wave"});
        } else {
            const std::uint64_t number =
                state().waves.empty() ? 1 : state().waves.begin()->second.number + randomBelow(2);
            decide(Fleet::WaveStarted{nextAction(), number, HomeZone, "asked for"});
        }
    }

    std::vector<Fleet::ActionId> openActions() const
    {
        std::vector<Fleet::ActionId> actions;
        for (const auto &it : state().moves) {
            actions.push_back(it.first);
        }
        for (const auto &it : state().maintenances) {
            actions.push_back(it.first);
        }
        return actions;
    }

    void acknowledge()
    {
        const std::vector<Fleet::ActionId> actions = openActions();
        if (actions.empty() || state().members.empty()) {
            return;
        }
        const Fleet::ActionId action = *randomItem(actions);
        const std::vector<Base::MemberName> members = [&] {
            std::vector<Base::MemberName> names;
            for (const auto &it : state().members) {
                names.push_back(it.first);
            }
            return names;
        }();
        for (const Base::MemberName &it : members) {
            if (!occursWithPercent(20)) {
                append(Fleet::DrainAcknowledged{action, it}, it, {});
            }
        }
    }

    void advanceActionOrWave()
    {
        const std::vector<Fleet::ActionId> actions = openActions();
        if (!actions.empty() && randomBelow(6) > 0) {
            advanceAction(*randomItem(actions));
            return;
        }
        if (state().waves.empty()) {
            return;
        }
        const Fleet::ActionId wave = state().waves.begin()->first;
        if (randomBelow(2) == 0) {
            decide(Fleet::WaveFinished{wave});
        } else {
            decide(Fleet::WaveStopped{wave, "early stops failed"});
        }
    }

    void advanceAction(const Fleet::ActionId &action)
    {
        if (state().moves.contains(action)) {
            if (occursWithPercent(20)) {
                decide(Fleet::MoveAborted{action, "no longer wanted"});
            } else {
                decide(Fleet::MoveCommitted{action});
            }
        } else if (randomBelow(2) == 0) {
            decide(Fleet::RebootRequested{action});
        } else {
            decide(Fleet::MaintenanceEnded{action, !occursWithPercent(20), "done"});
        }
    }

    void changeInstanceHealth()
    {
        if (state().instances.empty()) {
            return;
        }
        const Fleet::InstanceState &instance = randomItem(state().instances)->second;
        const Base::InstanceName name = instance.declared.name;
        if (instance.phase == Fleet::InstancePhase::Failed) {
            append(Fleet::InstanceRecovered{name, "answers again"}, {}, {});
        } else {
            append(Fleet::InstanceFailed{name, "silent"}, {}, {});
        }
    }

    HistoryOptions m_options;
    std::mt19937_64 m_random;
    Fleet::Fold m_fold;
    History m_history;
    std::uint64_t m_ids = 0;
    Fleet::Offset m_previousTerm;
};

} // namespace

const Fleet::Charts &installedCharts()
{
    static const Fleet::Charts ShippedCharts = loadCharts();
    return ShippedCharts;
}

Document::Document makeDocument(std::size_t instances, std::size_t pools, std::size_t zones)
{
    Document::Document document;
    document.environment = {"trial"};
    for (std::size_t n = 0; n < zones; ++n) {
        document.zones.push_back(zoneName(n));
    }
    for (std::size_t n = 0; n < pools; ++n) {
        document.pools.push_back({poolName(n), n == 0});
        Document::Service service;
        service.name = {fmt::format("service-{:03}", n)};
        service.pool = poolName(n);
        service.routes.push_back({fmt::format("/service-{:03}/", n), false});
        service.deadline = Document::Milliseconds(2000);
        service.availability = 500;
        service.zoneAvailability = 500;
        document.services.push_back(std::move(service));
    }
    for (std::size_t n = 0; n < instances; ++n) {
        document.instances.push_back(makeInstance(n, pools, zones));
    }
    document.maintenance.drainTimeout = Document::Milliseconds(30000);
    return document;
}

Document::Delta makeFullDelta(const Document::Document &document)
{
    Document::Delta delta;
    delta.environment = document.environment;
    delta.zones = document.zones;
    delta.setPools = document.pools;
    delta.setInstances = document.instances;
    delta.setServices = document.services;
    delta.maintenance = document.maintenance;
    delta.weights = document.weights;
    return delta;
}

Fleet::Record makeRecord(std::string id, Fleet::Event event)
{
    Fleet::Record record;
    record.id = std::move(id);
    record.event = std::move(event);
    return record;
}

History makeHistory(const HistoryOptions &options)
{
    return HistoryGenerator(options).generate();
}

} // namespace Histories
