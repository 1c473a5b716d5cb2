#include "scenario.h"

#include <fmt/format.h>

#include <utility>

namespace Scenarios
{

namespace
{

constexpr Document::PerMille Quarter = 250;

} // namespace

Document::Document smallDocument()
{
    Document::Document document = Histories::makeDocument(12, 3);
    for (Document::Service &it : document.services) {
        it.availability = Quarter;
        it.zoneAvailability = Quarter;
    }
    return document;
}

Fleet::Fold emptyFold()
{
    return Fleet::Fold(Histories::installedCharts(), Zone);
}

Base::InstanceName workerName(std::size_t n)
{
    return {fmt::format("worker-{:05}", n)};
}

Base::PoolName poolName(std::size_t n)
{
    return {fmt::format("pool-{:03}", n)};
}

Scenario::Scenario(const Document::Document &document)
    : m_fold(emptyFold())
{
    edit(Histories::makeFullDelta(document));
    report(Fleet::MemberJoined{Alpha, Zone});
    report(Fleet::MemberJoined{Beta, Zone});
    report(Fleet::PlannerClaimed{Zone, Alpha, {}});
}

void Scenario::edit(Document::Delta delta)
{
    const Fleet::Offset offset{m_history.common.size() + 1};
    Fleet::EditProposed event{m_fold.state().documentOffset, "operator", "", std::move(delta), {}};
    m_history.common.push_back(
        {offset, Histories::makeRecord(fmt::format("c-{}", offset.value), std::move(event))});
    m_fold.applyCommon(m_history.common.back());
}

Fleet::Offset Scenario::append(Fleet::Event event, Fleet::Offset term)
{
    const Fleet::Offset offset{m_history.zone.size() + 1};
    const Fleet::Offset seen = m_fold.state().commonAppliedTo;
    m_history.zone.push_back(
        {offset, Fleet::Record{fmt::format("z-{}", offset.value), Alpha, term, seen, std::move(event), {}}});
    m_fold.applyZone(m_history.zone.back());
    return offset;
}

Fleet::Offset Scenario::report(Fleet::Event event)
{
    return append(std::move(event), {});
}

Fleet::Offset Scenario::decide(Fleet::Event event)
{
    return append(std::move(event), currentTerm(m_fold.state()));
}

void Scenario::observe(std::uint64_t seconds, double busySlots)
{
    Fleet::PlannerObserved observed;
    observed.observations.at = Base::instantAt(std::chrono::seconds(seconds));
    observed.observations.demands.push_back({poolName(0), busySlots, 0, 0, 0});
    observed.zoneOffset = m_fold.state().appliedTo;
    decide(observed);
}

void Scenario::acknowledge(const Fleet::ActionId &id)
{
    report(Fleet::DrainAcknowledged{id, Alpha});
    report(Fleet::DrainAcknowledged{id, Beta});
}

void Scenario::move(const Fleet::ActionId &id, std::size_t worker, std::size_t from, std::size_t to)
{
    decide(Fleet::MoveStarted{id, workerName(worker), poolName(from), poolName(to), "shift"});
    acknowledge(id);
    decide(Fleet::MoveCommitted{id});
}

void Scenario::maintain(const Fleet::ActionId &id, const Fleet::ActionId &wave, std::size_t worker)
{
    decide(Fleet::MaintenanceStarted{id, wave, workerName(worker), "wave"});
    acknowledge(id);
    decide(Fleet::RebootRequested{id});
    decide(Fleet::MaintenanceEnded{id, true, "answers"});
}

Scenario soundScenario()
{
    Scenario scenario;
    scenario.observe(10, 4);
    scenario.move({"move"}, 0, 0, 1);
    scenario.observe(20, 8);
    Document::Delta delta;
    delta.setPools.push_back({{"pool-009"}, false});
    scenario.edit(delta);
    scenario.decide(Fleet::WaveStarted{{"wave"}, 1, Zone, "asked for"});
    scenario.maintain({"first"}, {"wave"}, 4);
    scenario.observe(25, 8);
    scenario.maintain({"second"}, {"wave"}, 7);
    scenario.decide(Fleet::WaveFinished{{"wave"}});
    scenario.report(Fleet::SnapshotTaken{scenario.fold().snapshot()});
    scenario.observe(30, 0);
    return scenario;
}

} // namespace Scenarios
