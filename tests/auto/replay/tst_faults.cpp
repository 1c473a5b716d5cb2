#include "scenario.h"

#include <replay/replay.h>

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <utility>

using Fleet::Entry;
using Fleet::FleetState;
using Fleet::Outcome;
using Fleet::OutcomeKind;
using Replay::Findings;
using Replay::Invariant;
using Scenarios::Scenario;

// The fold keeps these invariants by itself, so that no record can break them. Here the fold is at fault.

namespace
{

/// May change what became of an entry, and the state after it.
using Fault = std::function<void(const Entry &, Outcome &, FleetState &)>;

class FaultyFold
{
public:
    explicit FaultyFold(Fault fault)
        : m_fold(Scenarios::emptyFold())
        , m_fault(std::move(fault))
    {
    }

    Outcome applyCommon(const Entry &entry)
    {
        return spoil(entry, m_fold.applyCommon(entry));
    }

    Outcome applyZone(const Entry &entry)
    {
        return spoil(entry, m_fold.applyZone(entry));
    }

    const FleetState &state() const
    {
        return m_state;
    }

private:
    Outcome spoil(const Entry &entry, Outcome outcome)
    {
        m_state = m_fold.state();
        if (outcome.kind != OutcomeKind::NotYet) {
            m_fault(entry, outcome, m_state);
        }
        return outcome;
    }

    Fleet::Fold m_fold;
    Fault m_fault;
    FleetState m_state;
};

/// A fold that takes whatever it should refuse.
void takeAll(const Entry &, Outcome &outcome, FleetState &)
{
    outcome = {};
}

Findings replayWithFault(const Scenario &scenario, Fault fault)
{
    return Replay::replayWith(Histories::installedCharts(),
                              FaultyFold(std::move(fault)),
                              Scenarios::emptyFold(),
                              scenario.streams(),
                              [](const Replay::Step &, const Replay::Violations &) {});
}

/// Changes the state after the zone's record at `offset` only.
template<typename Change>
Fault at(Fleet::Offset offset, Change change)
{
    return [offset, change](const Entry &entry, Outcome &, FleetState &state) {
        const bool isZoneRecord = entry.record() != nullptr && entry.record()->id.starts_with("z-");
        if (isZoneRecord && entry.offset == offset) {
            change(state);
        }
    };
}

void checkFirst(const Findings &findings, Invariant invariant, Fleet::Offset offset)
{
    CHECK_FALSE(findings.violations.empty());
    const Replay::Violation &first = findings.violations.front();
    STRCMP_EQUAL(std::string(toString(invariant)).c_str(), std::string(toString(first.invariant)).c_str());
    LONGS_EQUAL(offset.value, first.offset.value);
}

} // namespace

TEST_GROUP(Faults)
{
    Scenario scenario;
    Fleet::MoveStarted start{
        {"move"}, Scenarios::workerName(0), Scenarios::poolName(0), Scenarios::poolName(1), ""};
};

TEST(Faults, APoolThatChangesWithoutAMoveIsFound)
{
    const Fleet::Offset offset = scenario.report(Fleet::MemberLeft{Scenarios::Beta, ""});
    const Findings findings = replayWithFault(scenario, at(offset, [](FleetState &it) {
                                                  it.instances.at(Scenarios::workerName(0)).pool =
                                                      Scenarios::poolName(2);
                                              }));
    checkFirst(findings, Invariant::OnePool, offset);
}

TEST(Faults, AnInstanceInNoPoolIsFound)
{
    const Fleet::Offset offset = scenario.report(Fleet::MemberLeft{Scenarios::Beta, ""});
    const Findings findings = replayWithFault(
        scenario, at(offset, [](FleetState &it) { it.instances.erase(Scenarios::workerName(0)); }));
    checkFirst(findings, Invariant::OnePool, offset);
}

TEST(Faults, AnInstanceInAnUndeclaredPoolIsFound)
{
    const Findings findings = replayWithFault(scenario, [](const Entry &, Outcome &, FleetState &it) {
        it.instances.at(Scenarios::workerName(0)).pool = {"nowhere"};
    });
    checkFirst(findings, Invariant::OnePool, {1});
}

TEST(Faults, ACommitBeforeAllAcknowledgedIsFound)
{
    scenario.decide(start);
    scenario.report(Fleet::DrainAcknowledged{{"move"}, Scenarios::Alpha});
    const Fleet::Offset offset = scenario.decide(Fleet::MoveCommitted{{"move"}});
    const Findings findings = replayWithFault(scenario, takeAll);
    checkFirst(findings, Invariant::DrainAcknowledged, offset);
    STRCMP_CONTAINS("beta", findings.violations.front().detail.c_str());
}

TEST(Faults, ARebootBeforeAllAcknowledgedIsFound)
{
    scenario.decide(Fleet::WaveStarted{{"wave"}, 1, Scenarios::Zone, ""});
    scenario.decide(Fleet::MaintenanceStarted{{"stop"}, {"wave"}, Scenarios::workerName(0), ""});
    const Fleet::Offset offset = scenario.decide(Fleet::RebootRequested{{"stop"}});
    checkFirst(replayWithFault(scenario, takeAll), Invariant::DrainAcknowledged, offset);
}

TEST(Faults, AnActionDecidedTwiceIsFound)
{
    scenario.decide(start);
    const Fleet::Offset offset = scenario.decide(start);
    checkFirst(replayWithFault(scenario, takeAll), Invariant::OneDecision, offset);
}

TEST(Faults, ADecisionUnderAnOldTermIsFound)
{
    const Fleet::Offset former = currentTerm(scenario.fold().state());
    scenario.report(Fleet::PlannerClaimed{Scenarios::Zone, Scenarios::Beta, former});
    const Fleet::Offset offset = scenario.report(start);
    checkFirst(replayWithFault(scenario, takeAll), Invariant::OneDecision, offset);
}

TEST(Faults, AnEditOverALaterOneIsFound)
{
    Document::Delta delta;
    delta.setPools.push_back({{"pool-009"}, false});
    scenario.edit(delta);
    const Findings findings =
        replayWithFault(scenario, [](const Entry &entry, Outcome &outcome, FleetState &it) {
            if (entry.offset.value == 2 && entry.record()->id == "c-2") {
                outcome = {OutcomeKind::Refused, Fleet::Refusal::SupersededBase};
                it.documentOffset = {2};
            }
        });
    checkFirst(findings, Invariant::EditsStay, {2});
}

TEST(Faults, ADocumentThatRevertsIsFound)
{
    Document::Delta delta;
    delta.setPools.push_back({{"pool-009"}, false});
    scenario.edit(delta);
    const Fleet::Offset offset = scenario.report(Fleet::MemberLeft{Scenarios::Beta, ""});
    const Findings findings =
        replayWithFault(scenario, at(offset, [](FleetState &it) { it.documentOffset = {1}; }));
    checkFirst(findings, Invariant::EditsStay, offset);
}

TEST(Faults, AnIllegalTransitionIsFound)
{
    const Fleet::Offset offset = scenario.decide(start);
    const Findings findings = replayWithFault(scenario, at(offset, [](FleetState &it) {
                                                  it.instances.at(Scenarios::workerName(0)).phase =
                                                      Fleet::InstancePhase::Rebooting;
                                              }));
    checkFirst(findings, Invariant::LegalTransition, offset);
}

TEST(Faults, AnIllegalTransitionOfAWaveIsFound)
{
    scenario.decide(Fleet::WaveStarted{{"wave"}, 1, Scenarios::Zone, ""});
    scenario.decide(Fleet::WaveFinished{{"wave"}});
    const Fleet::Offset offset = scenario.report(Fleet::MemberLeft{Scenarios::Beta, ""});
    const Findings findings = replayWithFault(scenario, at(offset, [](FleetState &it) {
                                                  it.waves.at({"wave"}).phase = Fleet::WavePhase::Running;
                                              }));
    checkFirst(findings, Invariant::LegalTransition, offset);
}
