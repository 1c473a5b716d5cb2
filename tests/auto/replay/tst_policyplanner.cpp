#include "scenario.h"

#include <policy/planner.h>
#include <replay/policyplanner.h>
#include <replay/replay.h>

#include <utility>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using Scenarios::Scenario;

namespace
{

constexpr std::uint64_t SecondsBetweenPasses = 5;
constexpr std::uint64_t Passes = 120;

/// One pool asks for much and the others for little; a wave is wanted.
Document::Document busyDocument()
{
    Document::Document document = Scenarios::smallDocument();
    document.maintenance.wave = {Scenarios::poolName(1), Scenarios::poolName(2)};
    document.maintenance.waveNumber = 1;
    return document;
}

Fleet::Observations observedAt(std::uint64_t pass, const Fleet::FleetState &state)
{
    Fleet::Observations observations;
    observations.at = Base::instantAt(std::chrono::seconds(pass * SecondsBetweenPasses));
    observations.demands.push_back({Scenarios::poolName(0), pass < Passes / 2 ? 4.0 : 30.0, 0, 0, 0});
    observations.demands.push_back({Scenarios::poolName(1), 2, 0, 0, 0});
    observations.demands.push_back({Scenarios::poolName(2), 2, 0, 0, 0});
    for (const auto &it : state.instances) {
        const bool isDown = it.second.phase == Fleet::InstancePhase::Rebooting && pass % 2 == 0;
        const auto platform = isDown ? Fleet::PlatformState::Gone : Fleet::PlatformState::Live;
        observations.instances.push_back({it.first, platform, 0, false});
    }
    for (const auto &it : state.maintenances) {
        if (it.second.phase == Fleet::MaintenancePhase::Rebooting) {
            observations.actions.push_back({it.first, Fleet::ActionResult::Completed, ""});
        }
    }
    observations.liveMembers = {Scenarios::Alpha, Scenarios::Beta};
    return observations;
}

void acknowledgeAll(Scenario &scenario)
{
    std::vector<Fleet::ActionId> actions;
    for (const auto &it : scenario.fold().state().moves) {
        actions.push_back(it.first);
    }
    for (const auto &it : scenario.fold().state().maintenances) {
        actions.push_back(it.first);
    }
    for (const Fleet::ActionId &it : actions) {
        scenario.acknowledge(it);
    }
}

/// Members and a planner at work, whose passes leave a record only when they decide something; the decision
/// number `forged`, if there is one, is another than the planner's.
Scenario plannedScenario(std::size_t forged)
{
    Scenario scenario(busyDocument());
    Policy::PlannerMemory memory;
    std::size_t decisions = 0;
    for (std::uint64_t pass = 1; pass <= Passes; ++pass) {
        const Fleet::FleetState &state = scenario.fold().state();
        const Fleet::Observations observations = observedAt(pass, state);
        const Policy::PlannerIdentity identity{Scenarios::Alpha, Scenarios::Zone, currentTerm(state)};
        Policy::Pass planned = Policy::plan(state, observations, memory, identity);
        const Policy::PlannerMemory before = std::exchange(memory, planned.memory);
        if (!planned.decisions.empty()) {
            scenario.decide(Fleet::PlannerObserved{observations, state.appliedTo, before});
        }
        for (const Policy::Decision &it : planned.decisions) {
            const bool isForged = ++decisions == forged;
            scenario.decide(isForged ? Fleet::Event(Fleet::WaveFinished{{"forged"}}) : it.event);
        }
        acknowledgeAll(scenario);
    }
    return scenario;
}

Replay::Findings replayOf(const Scenario &scenario)
{
    return Replay::replay(
        Histories::shippedCharts(), Scenarios::emptyFold(), scenario.streams(), Replay::PolicyPlanner{});
}

} // namespace

TEST_GROUP(PolicyPlanner){};

TEST(PolicyPlanner, EveryDecisionFollowsFromTheRecord)
{
    const Scenario scenario = plannedScenario(0);
    const Replay::Findings findings = replayOf(scenario);
    CHECK_TEXT(findings.isSound(), toText(findings).c_str());
    LONGS_EQUAL(0, findings.outcomes.of(Fleet::OutcomeKind::Refused));
    CHECK(findings.state.waves.size() == 1);
    CHECK(findings.state.waves.begin()->second.phase == Fleet::WavePhase::Finished);
    LONGS_EQUAL(8, findings.state.waves.begin()->second.done.size());
}

TEST(PolicyPlanner, AForgedDecisionIsFound)
{
    const Replay::Findings findings = replayOf(plannedScenario(1));
    CHECK_FALSE(findings.isSound());
    CHECK(findings.violations.front().invariant == Replay::Invariant::DecisionFollows);
}
