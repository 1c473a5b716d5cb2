#include "scenario.h"

#include <policy/planner.h>
#include <replay/policyplanner.h>
#include <replay/replay.h>

#include <CppUTest/TestHarness.h>

#include <random>
#include <set>
#include <string>
#include <utility>
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

/// What the planner sees besides the record. With seed 0 nothing fails.
class Surroundings
{
public:
    explicit Surroundings(std::uint64_t seed)
        : m_random(seed)
        , m_isCalm(seed == 0)
    {
    }

    Fleet::Observations observedAt(std::uint64_t pass, const Fleet::FleetState &state)
    {
        if (!m_isCalm && m_random() % 8 == 0) {
            toggle(Scenarios::workerName(m_random() % state.instances.size()));
        }
        Fleet::Observations observations;
        observations.at = Base::instantAt(std::chrono::seconds(pass * SecondsBetweenPasses));
        for (std::size_t n = 0; n < 3; ++n) {
            observations.demands.push_back({Scenarios::poolName(n), demandAt(pass, n), 0, 0, 0});
        }
        for (const auto &it : state.instances) {
            const bool isRebooting = it.second.phase == Fleet::InstancePhase::Rebooting;
            const auto platform =
                isRebooting && pass % 2 == 0 ? Fleet::PlatformState::Gone : Fleet::PlatformState::Live;
            observations.instances.push_back({it.first, platform, 0, m_ejected.contains(it.first)});
        }
        for (const auto &it : state.maintenances) {
            if (it.second.phase == Fleet::MaintenancePhase::Rebooting) {
                observations.actions.push_back({it.first, Fleet::ActionResult::Completed, ""});
            }
        }
        observations.liveMembers = {Scenarios::Alpha, Scenarios::Beta};
        return observations;
    }

private:
    void toggle(const Base::InstanceName &name)
    {
        if (m_ejected.erase(name) == 0) {
            m_ejected.insert(name);
        }
    }

    double demandAt(std::uint64_t pass, std::size_t pool)
    {
        if (!m_isCalm) {
            return static_cast<double>(m_random() % 33);
        }
        return pool == 0 && pass >= Passes / 2 ? 30 : 2;
    }

    std::mt19937_64 m_random;
    bool m_isCalm;
    std::set<Base::InstanceName> m_ejected;
};

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
Scenario plannedScenario(std::uint64_t seed, std::size_t forged)
{
    Scenario scenario(busyDocument());
    Surroundings surroundings(seed);
    Policy::PlannerMemory memory;
    std::size_t decisions = 0;
    for (std::uint64_t pass = 1; pass <= Passes; ++pass) {
        const Fleet::FleetState &state = scenario.fold().state();
        const Fleet::Observations observations = surroundings.observedAt(pass, state);
        const Policy::PlannerIdentity identity{Scenarios::Alpha, Scenarios::Zone, currentTerm(state)};
        Policy::PlanResult planned = Policy::plan(state, observations, memory, identity);
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
        Histories::installedCharts(), Scenarios::emptyFold(), scenario.streams(), Replay::PolicyPlanner{});
}

} // namespace

TEST_GROUP(PolicyPlanner){};

TEST(PolicyPlanner, EveryDecisionFollowsFromTheRecord)
{
    const Scenario scenario = plannedScenario(0, 0);
    const Replay::Findings findings = replayOf(scenario);
    CHECK_TEXT(findings.isSound(), toText(findings).c_str());
    LONGS_EQUAL(0, findings.outcomes.of(Fleet::OutcomeKind::Refused));
    CHECK(findings.state.waves.size() == 1);
    CHECK(findings.state.waves.begin()->second.phase == Fleet::WavePhase::Finished);
    LONGS_EQUAL(8, findings.state.waves.begin()->second.done.size());
}

// Ejections alone may break a budget; no stop that was planned may.
TEST(PolicyPlanner, NoPlannedStopBreaksABudgetWhileInstancesFail)
{
    std::size_t stops = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        const Scenario scenario = plannedScenario(seed, 0);
        const Replay::Findings findings = replayOf(scenario);
        LONGS_EQUAL(0, findings.outcomes.of(Fleet::OutcomeKind::Refused));
        for (const Replay::Violation &it : findings.violations) {
            CHECK_TEXT(it.invariant == Replay::Invariant::BudgetInForce,
                       ("seed " + std::to_string(seed) + ": " + it.detail).c_str());
        }
        for (const Fleet::Entry &it : scenario.streams().zone) {
            const Fleet::Event &event = it.record()->event;
            stops += std::holds_alternative<Fleet::MoveStarted>(event) ? 1 : 0;
            stops += std::holds_alternative<Fleet::MaintenanceStarted>(event) ? 1 : 0;
        }
    }
    CHECK(stops > 30);
}

TEST(PolicyPlanner, AForgedDecisionIsFound)
{
    const Replay::Findings findings = replayOf(plannedScenario(0, 1));
    CHECK_FALSE(findings.isSound());
    CHECK(findings.violations.front().invariant == Replay::Invariant::DecisionFollows);
}
