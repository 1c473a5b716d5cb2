#include "wavesimulation.h"

#include <policy/waveplanner.h>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

namespace
{

constexpr std::uint64_t Seeds = 40;

FleetModel modelWithWave(std::uint32_t maxConcurrent = 5)
{
    FleetModel model(FleetShape{});
    model.state.document.maintenance.maxConcurrent = maxConcurrent;
    model.state.document.maintenance.wave = {poolName(0)};
    model.state.document.maintenance.waveNumber = 1;
    model.pass(0);
    return model;
}

/// Completes the drains and reboots of all open maintenances; the reboots succeed if `isSuccessful`.
void completeMaintenances(FleetModel &model, double &seconds, bool isSuccessful)
{
    model.acknowledgeDrains();
    model.pass(++seconds);
    for (const auto &[id, it] : model.state.maintenances) {
        model.observations.actions = {};
        model.report(it.instance).state = Fleet::PlatformState::Gone;
    }
    ++model.state.appliedTo.value;
    model.pass(++seconds);
    for (const auto &[id, it] : model.state.maintenances) {
        model.report(it.instance).state =
            isSuccessful ? Fleet::PlatformState::Live : Fleet::PlatformState::Gone;
    }
    seconds += isSuccessful ? 30 : 1000;
    ++model.state.appliedTo.value;
    model.pass(seconds);
    ++model.state.appliedTo.value;
}

std::string seedText(std::uint64_t seed)
{
    return fmt::format("seed {}", seed);
}

} // namespace

TEST_GROUP(WavePlanner)
{
    double seconds = 1;
};

TEST(WavePlanner, StartsWithOneInstanceAndRampsUpAfterSuccesses)
{
    FleetModel model = modelWithWave();
    model.pass(seconds);
    CHECK_EQUAL(1, model.state.maintenances.size());
    completeMaintenances(model, seconds, true);
    model.pass(++seconds);
    CHECK_EQUAL(1, model.state.waves.begin()->second.done.size());
    CHECK_EQUAL(2, model.state.maintenances.size());
}

TEST(WavePlanner, MaintainsInstancesOfDifferentRacksConcurrently)
{
    FleetModel model = modelWithWave();
    for (int n = 0; n < 3; ++n) {
        model.pass(++seconds);
        completeMaintenances(model, seconds, true);
    }
    model.pass(++seconds);
    std::set<Base::RackName> racks;
    for (const auto &[id, it] : model.state.maintenances) {
        racks.insert(model.state.instances.at(it.instance).declared.rack);
    }
    CHECK_EQUAL(4, racks.size());
    CHECK_EQUAL(4, model.state.maintenances.size());
}

TEST(WavePlanner, WaitsForEveryMembersAcknowledgement)
{
    FleetModel model = modelWithWave();
    model.pass(seconds);
    model.state.maintenances.begin()->second.acknowledgedBy = {{"m0"}};
    const Policy::PlanResult pass = model.pass(++seconds);
    CHECK_EQUAL(0, countOf<Fleet::RebootRequested>(pass.decisions));
    STRCMP_CONTAINS("the first is m1", pass.deferrals.front().reason.c_str());
}

TEST(WavePlanner, ALateDrainContinuesAndReportsTheReason)
{
    FleetModel model = modelWithWave();
    model.pass(seconds);
    model.acknowledgeDrains();
    const Base::InstanceName instance = model.state.maintenances.begin()->second.instance;
    model.report(instance).inFlight = 1;
    model.pass(2);
    const Policy::PlanResult pass = model.pass(3600);
    CHECK(pass.decisions.empty());
    STRCMP_CONTAINS("1 requests are in flight; late", pass.deferrals.front().reason.c_str());
}

TEST(WavePlanner, AnAbsentMemberCountsAsAcknowledgedOnlyAfterTheLongestDeadline)
{
    FleetModel model = modelWithWave();
    model.pass(seconds);
    model.state.maintenances.begin()->second.acknowledgedBy = {{"m0"}};
    model.observations.liveMembers = {{"m0"}};
    for (const double it : {10.0, 12.0}) {
        const Policy::PlanResult early = model.pass(it);
        CHECK_EQUAL(0, countOf<Fleet::RebootRequested>(early.decisions));
    }
    const Policy::PlanResult pass = model.pass(12.1);
    CHECK_EQUAL(1, countOf<Fleet::MemberLeft>(pass.decisions));
    CHECK_EQUAL(1, countOf<Fleet::RebootRequested>(pass.decisions));
}

TEST(WavePlanner, AMemberNotListedYetMayHaveSentRequestsBeforeTheDrain)
{
    FleetModel model = modelWithWave();
    model.observations.liveMembers = {{"m0"}};
    model.pass(1);
    model.state.maintenances.begin()->second.acknowledgedBy = {{"m0"}};
    // The member is absent since 1 s, at 3.1 s for longer than the deadline of 2 s, but the planner has seen
    // the drain only since 2.5 s.
    for (const double it : {2.5, 3.1, 4.5}) {
        const Policy::PlanResult early = model.pass(it);
        CHECK_EQUAL(0, countOf<Fleet::MemberLeft>(early.decisions));
        CHECK_EQUAL(0, countOf<Fleet::RebootRequested>(early.decisions));
    }
    const Policy::PlanResult pass = model.pass(4.6);
    CHECK_EQUAL(1, countOf<Fleet::MemberLeft>(pass.decisions));
    CHECK_EQUAL(1, countOf<Fleet::RebootRequested>(pass.decisions));
}

TEST(WavePlanner, StopsAWaveThatFailsTooOftenAndResumesOnlyUnderAHigherNumber)
{
    FleetModel model = modelWithWave();
    for (int n = 0; n < 2; ++n) {
        model.pass(++seconds);
        completeMaintenances(model, seconds, false);
    }
    model.pass(++seconds);
    const Fleet::Wave &wave = model.state.waves.begin()->second;
    CHECK(wave.phase == Fleet::WavePhase::Stopped);
    STRCMP_CONTAINS("2 of 2 stops failed", wave.stopReason.c_str());
    ++model.state.appliedTo.value;
    const Policy::PlanResult stopped = model.pass(++seconds);
    CHECK_EQUAL(0, countOf<Fleet::WaveStarted>(stopped.decisions));
    STRCMP_CONTAINS("goes on under a higher wave number", stopped.deferrals.back().reason.c_str());
    ++model.state.document.maintenance.waveNumber;
    const Policy::PlanResult resumed = model.pass(++seconds);
    CHECK_EQUAL(1, countOf<Fleet::WaveStarted>(resumed.decisions));
}

TEST(WavePlanner, ARackLossDoesNotStopAWave)
{
    FleetModel model = modelWithWave();
    for (int n = 0; n < 3; ++n) {
        model.pass(++seconds);
        completeMaintenances(model, seconds, true);
    }
    for (const auto &[name, it] : model.state.instances) {
        if (it.declared.rack.value == "r000") {
            model.report(name).state = Fleet::PlatformState::Gone;
        }
    }
    ++model.state.appliedTo.value;
    model.pass(++seconds);
    CHECK(model.state.waves.begin()->second.phase == Fleet::WavePhase::Running);
}

TEST(WavePlanner, WaitsForInstancesThatAreDownAndFinishesWithoutThemAfterATimeout)
{
    FleetModel model = modelWithWave();
    model.report({"z00-i00003"}).state = Fleet::PlatformState::Gone;
    for (int n = 0; n < 12; ++n) {
        model.pass(++seconds);
        completeMaintenances(model, seconds, true);
    }
    CHECK_EQUAL(11, model.state.waves.begin()->second.done.size());
    CHECK(model.state.waves.begin()->second.phase == Fleet::WavePhase::Running);
    model.pass(seconds + 1800);
    CHECK(model.state.waves.begin()->second.phase == Fleet::WavePhase::Finished);
}

TEST(WavePlanner, FailuresThatExhaustTheBudgetCancelDrainsBeforeTheReboot)
{
    FleetModel model = modelWithWave();
    model.pass(seconds);
    for (const auto *it : {"z00-i00001", "z00-i00002", "z00-i00003", "z00-i00005"}) {
        model.report({it}).isEjected = true;
    }
    const Policy::PlanResult pass = model.pass(++seconds);
    CHECK_EQUAL(1, countOf<Fleet::MaintenanceEnded>(pass.decisions));
    CHECK(model.state.maintenances.empty());
    CHECK(model.state.waves.begin()->second.failed.empty());
}

TEST(WavePlanner, KeepsTheBudgetInSimulationsWhereTheBaselineViolatesIt)
{
    std::size_t baselineViolations = 0;
    std::size_t finished = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const WaveFaults faults{.hasRackFailures = true, .hasFailingReboots = false};
        const WaveOutcome policy = simulateWave(seed, faults, planByPolicy);
        CHECK_EQUAL_TEXT(0, policy.violationSeconds, seedText(seed).c_str());
        CHECK_EQUAL_TEXT(0, policy.interruptedRequests, seedText(seed).c_str());
        finished += policy.isFinished ? 1 : 0;
        baselineViolations += simulateWave(seed, faults, planByCount).violationSeconds > 0 ? 1 : 0;
    }
    CHECK(baselineViolations > 0);
    CHECK_EQUAL(Seeds, finished);
}

TEST(WavePlanner, StopsInSimulationsOfFailingRebootsWhereTheBaselineContinues)
{
    std::size_t baselineViolations = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const WaveFaults faults{.hasRackFailures = true, .hasFailingReboots = true};
        const WaveOutcome policy = simulateWave(seed, faults, planByPolicy);
        const WaveOutcome baseline = simulateWave(seed, faults, planByCount);
        CHECK_EQUAL_TEXT(0, policy.violationSeconds, seedText(seed).c_str());
        CHECK_TEXT(policy.isStopped, seedText(seed).c_str());
        CHECK_TEXT(policy.failedReboots < baseline.failedReboots, seedText(seed).c_str());
        baselineViolations += baseline.violationSeconds > 0 ? 1 : 0;
    }
    CHECK(baselineViolations > 0);
}
