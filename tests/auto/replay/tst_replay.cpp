#include "scenario.h"

#include <replay/replay.h>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using Replay::Findings;
using Replay::Invariant;
using Replay::Violation;
using Scenarios::Scenario;

namespace
{

Findings replayOf(const Scenario &scenario)
{
    return Replay::replay(Histories::installedCharts(), Scenarios::emptyFold(), scenario.streams());
}

void checkFirst(const Findings &findings, Invariant invariant, Fleet::Offset offset)
{
    CHECK_FALSE(findings.violations.empty());
    const Violation &first = findings.violations.front();
    STRCMP_EQUAL(std::string(toString(invariant)).c_str(), std::string(toString(first.invariant)).c_str());
    LONGS_EQUAL(offset.value, first.offset.value);
}

Fleet::MoveStarted moveOf(std::size_t worker, std::size_t from, std::size_t to)
{
    return {{"m-" + std::to_string(worker)},
            Scenarios::workerName(worker),
            Scenarios::poolName(from),
            Scenarios::poolName(to),
            ""};
}

/// Comes to the same one decision at every pass.
struct OneDecisionPlanner {
    Fleet::Event decision;

    std::vector<Fleet::Event>
    decide(const Fleet::FleetState &, const Fleet::PlannerObserved &, const Fleet::PlannerLease &)
    {
        return {decision};
    }
};

/// Comes to the decision that the number of members and the pass itself call for.
struct MemberCountPlanner {
    std::vector<Fleet::Event>
    decide(const Fleet::FleetState &state, const Fleet::PlannerObserved &, const Fleet::PlannerLease &)
    {
        return {Fleet::WaveStarted{{"wave"}, state.members.size(), state.zone, ""}};
    }
};

} // namespace

TEST_GROUP(Replay){};

TEST(Replay, ASoundRecordHasNoViolation)
{
    const Findings findings = replayOf(Scenarios::soundScenario());
    STRCMP_EQUAL("violations: 0\n", toText(findings).substr(toText(findings).rfind("violations")).c_str());
    CHECK(findings.isSound());
    CHECK(findings.state == Scenarios::soundScenario().fold().state());
    LONGS_EQUAL(0, findings.outcomes.of(Fleet::OutcomeKind::Refused));
}

TEST(Replay, TheRecordCanBeReplayedFromItsSnapshotOn)
{
    const Scenario scenario = Scenarios::soundScenario();
    const Replay::Streams streams = scenario.streams();
    const auto it = std::find_if(streams.zone.begin(), streams.zone.end(), [](const Fleet::Entry &entry) {
        return std::holds_alternative<Fleet::SnapshotTaken>(entry.record()->event);
    });
    const Fleet::FleetState &snapshot = std::get<Fleet::SnapshotTaken>(it->record()->event).state;
    const Replay::Streams rest{streams.common.subspan(snapshot.commonAppliedTo.value),
                               streams.zone.subspan(snapshot.appliedTo.value)};
    const Fleet::Fold start(Histories::installedCharts(), snapshot);
    const Findings findings = Replay::replay(Histories::installedCharts(), start, rest);
    CHECK(findings.isSound());
    CHECK(findings.state == scenario.fold().state());
}

TEST(Replay, APlannedStopThatBreaksABudgetIsFound)
{
    Scenario scenario;
    scenario.decide(moveOf(6, 0, 1));
    const Fleet::Offset offset = scenario.decide(moveOf(9, 0, 1));
    checkFirst(replayOf(scenario), Invariant::BudgetOfPlannedStop, offset);
}

TEST(Replay, AnEjectedInstanceIsSpentFromTheBudget)
{
    Scenario scenario;
    Fleet::PlannerObserved observed;
    observed.observations.instances.push_back(
        {Scenarios::workerName(6), Fleet::PlatformState::Live, 0, true});
    scenario.decide(observed);
    const Fleet::Offset offset = scenario.decide(moveOf(9, 0, 1));
    checkFirst(replayOf(scenario), Invariant::BudgetOfPlannedStop, offset);
}

TEST(Replay, ABudgetBrokenByFailuresIsSaidOnce)
{
    Scenario scenario;
    for (const std::size_t it : {0U, 3U, 6U}) {
        scenario.report(Fleet::InstanceFailed{Scenarios::workerName(it), "silent"});
    }
    CHECK(replayOf(scenario).isSound());
    const Fleet::Offset offset = scenario.report(Fleet::InstanceFailed{Scenarios::workerName(9), "silent"});
    scenario.report(Fleet::MemberLeft{Scenarios::Beta, "stopped"});
    const Findings findings = replayOf(scenario);
    checkFirst(findings, Invariant::BudgetInForce, offset);
    LONGS_EQUAL(1, findings.violations.size());
    STRCMP_CONTAINS("32 have failed", findings.violations.front().detail.c_str());
}

TEST(Replay, ASnapshotThatDiffersIsFound)
{
    Scenario scenario;
    Fleet::FleetState snapshot = scenario.fold().snapshot();
    snapshot.members.erase(Scenarios::Beta);
    const Fleet::Offset offset = scenario.report(Fleet::SnapshotTaken{snapshot});
    checkFirst(replayOf(scenario), Invariant::SnapshotAgrees, offset);
}

TEST(Replay, ADecisionThatThePlannerDoesNotComeToIsFound)
{
    Scenario scenario;
    scenario.observe(10, 4);
    scenario.decide(moveOf(0, 0, 1));
    const auto replayedBy = [&](const Fleet::Event &decision) {
        return Replay::replay(Histories::installedCharts(),
                              Scenarios::emptyFold(),
                              scenario.streams(),
                              OneDecisionPlanner{decision});
    };
    CHECK(replayedBy(moveOf(0, 0, 1)).isSound());
    checkFirst(replayedBy(moveOf(0, 0, 2)), Invariant::DecisionFollows, scenario.fold().state().appliedTo);
}

TEST(Replay, ADecisionIsDerivedFromTheStateThatThePlannerHadFolded)
{
    Scenario scenario;
    Fleet::PlannerObserved observed;
    observed.zoneOffset = scenario.fold().state().appliedTo;
    scenario.report(Fleet::MemberJoined{{"gamma"}, Scenarios::Zone});
    scenario.decide(observed);
    scenario.decide(Fleet::WaveStarted{{"wave"}, 2, Scenarios::Zone, ""});
    const Findings findings = Replay::replay(
        Histories::installedCharts(), Scenarios::emptyFold(), scenario.streams(), MemberCountPlanner{});
    CHECK(findings.isSound());
}

TEST(Replay, ACursorWaitsForTheCommonStreamAndGoesBack)
{
    const Scenario scenario = Scenarios::soundScenario();
    const Fleet::Fold start = Scenarios::emptyFold();
    Replay::StateCursor cursor(start, scenario.streams());
    const Fleet::FleetState &end = scenario.fold().state();
    const Fleet::Offset waiting = cursor.stateAt({1}, end.appliedTo).appliedTo;
    CHECK(waiting < end.appliedTo);
    CHECK(cursor.stateAt(end.commonAppliedTo, end.appliedTo) == end);
    LONGS_EQUAL(waiting.value, cursor.stateAt({1}, waiting).appliedTo.value);
    LONGS_EQUAL(1, cursor.stateAt({1}, waiting).commonAppliedTo.value);
}

TEST(Replay, RandomHistoriesBreakNothingButBudgets)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Histories::HistoryOptions options;
        options.seed = seed;
        const Histories::History history = Histories::makeHistory(options);
        const Findings findings = Replay::replay(
            Histories::installedCharts(), Scenarios::emptyFold(), {history.common, history.zone});
        const bool areBudgets =
            std::all_of(findings.violations.begin(), findings.violations.end(), [](const Violation &it) {
                return it.invariant == Invariant::BudgetInForce
                    || it.invariant == Invariant::BudgetOfPlannedStop;
            });
        CHECK_TEXT(areBudgets, ("seed " + std::to_string(seed) + "\n" + toText(findings)).c_str());
    }
}

TEST(Replay, FindingsNameTheOffsetAndTheLine)
{
    Scenario scenario;
    scenario.decide(moveOf(6, 0, 1));
    scenario.decide(moveOf(9, 0, 1));
    const Findings findings = replayOf(scenario);
    STRCMP_CONTAINS("zone:5: Every service's availability budget holds", toText(findings).c_str());
    const boost::json::value root = boost::json::parse(toJson(findings));
    const boost::json::value &first = root.at("violations").at(0);
    LONGS_EQUAL(5, first.at("offset").to_number<int>());
    CHECK(first.at("invariant").as_string() == "budget-of-planned-stop");
    LONGS_EQUAL(1, root.at("commonAppliedTo").to_number<int>());
}
