#include "demandsimulation.h"
#include "wavesimulation.h"

#include <policy/demandestimate.h>
#include <policy/lending.h>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

namespace
{

constexpr std::uint64_t Seeds = 6;

FleetShape shapeWithSpare()
{
    FleetShape shape;
    shape.pools = 3;
    shape.instancesPerPool = 6;
    shape.zoneAvailability = 300;
    shape.hasSpare = true;
    return shape;
}

std::string seedText(std::uint64_t seed)
{
    return fmt::format("seed {}", seed);
}

} // namespace

TEST_GROUP(MovePlanner)
{
    FleetModel model{shapeWithSpare()};

    /// Sets the demand of each pool in slots.
    void setDemand(double first, double second, double spare)
    {
        model.observations.demands = {
            {poolName(0), first, 0, 0, 0}, {poolName(1), second, 0, 0, 0}, {poolName(2), spare, 0, 0, 0}};
    }

    /// Runs a pass every five seconds; returns the number of moves started.
    std::size_t runPasses(double from, double until)
    {
        std::size_t moves = 0;
        for (double it = from; it < until; it += 5) {
            const Policy::PlanResult pass = model.pass(it);
            moves += countOf<Fleet::MoveStarted>(pass.decisions);
            model.acknowledgeDrains();
        }
        return moves;
    }

    std::size_t instancesIn(std::size_t pool) const
    {
        std::size_t n = 0;
        for (const auto &[name, it] : model.state.instances) {
            n += it.pool == poolName(pool) ? 1 : 0;
        }
        return n;
    }
};

TEST(MovePlanner, AShortSurgeMovesNothing)
{
    setDemand(20, 20, 10);
    runPasses(0, 600);
    setDemand(100, 1, 1);
    CHECK_EQUAL(0, runPasses(600, 620));
    setDemand(1, 20, 10);
    CHECK_EQUAL(0, runPasses(620, 700));
}

TEST(MovePlanner, ALastingShiftMovesOnlyAsManyInstancesAsNeeded)
{
    setDemand(20, 20, 5);
    runPasses(0, 600);
    setDemand(45, 20, 5);
    // A demand of 45 slots at a utilization of at most 0.75 needs 60 slots: 8 instances, two more than the
    // pool has.
    const std::size_t moves = runPasses(600, 2400);
    CHECK(moves >= 2 && moves <= 4);
    CHECK(instancesIn(0) >= 8);
    CHECK_EQUAL(0, runPasses(2400, 4000));
}

TEST(MovePlanner, LessUtilizedPoolsGiveInstancesToAnOverloadedPool)
{
    // The spare pool is as busy as the first pool; the second is less busy but has no unneeded instances.
    setDemand(40, 28, 40);
    runPasses(0, 2400);
    CHECK_EQUAL(7, instancesIn(0));
    CHECK_EQUAL(5, instancesIn(1));
    CHECK_EQUAL(6, instancesIn(2));
}

TEST(MovePlanner, UnneededBufferReturnsToTheSparePool)
{
    model.state.document.weights = PlaquewrightWeights;
    setDemand(10, 30, 10);
    CHECK(runPasses(0, 2000) > 0);
    CHECK_EQUAL(0, runPasses(2000, 4000));
    CHECK(instancesIn(2) > 6);
}

TEST(MovePlanner, AHigherWeightOfMovesDelaysTheReturnOfBuffer)
{
    setDemand(10, 30, 10);
    model.state.document.weights = KapotakshaWeights;
    CHECK_EQUAL(0, runPasses(0, 2000));
}

TEST(MovePlanner, AMoveIsCommittedOnlyWhenAllMembersAcknowledged)
{
    setDemand(45, 20, 5);
    double seconds = 0;
    while (model.state.moves.empty() && seconds < 2000) {
        model.pass(seconds += 5);
        ++model.state.appliedTo.value;
    }
    CHECK_FALSE(model.state.moves.empty());
    const Policy::PlanResult waiting = model.pass(seconds += 5);
    CHECK_EQUAL(0, countOf<Fleet::MoveCommitted>(waiting.decisions));
    model.acknowledgeDrains();
    const Policy::PlanResult pass = model.pass(seconds += 5);
    CHECK(countOf<Fleet::MoveCommitted>(pass.decisions) > 0);
}

TEST(MovePlanner, AMoveToAPoolThatTheDocumentDroppedIsAborted)
{
    const Base::InstanceName name{"z00-i00006"};
    model.apply(Fleet::MoveStarted{{"a"}, name, poolName(1), poolName(0), {}});
    std::erase_if(model.state.document.pools,
                  [](const Document::Pool &it) { return it.name == poolName(0); });
    const Policy::PlanResult pass = model.pass(1);
    CHECK_EQUAL(1, countOf<Fleet::MoveAborted>(pass.decisions));
    CHECK(model.instance(name.value).pool == poolName(1));
}

TEST(MovePlanner, NeverMovesAnInstanceThatTheSamePassMaintains)
{
    setDemand(45, 20, 5);
    runPasses(0, 600);
    model.state.document.maintenance.wave = {poolName(2), poolName(1)};
    model.state.document.maintenance.waveNumber = 1;
    model.state.document.maintenance.maxConcurrent = 4;
    setDemand(80, 1, 1);
    for (double it = 600; it < 2000; it += 5) {
        const Policy::PlanResult pass = model.pass(it);
        std::set<Base::InstanceName> taken;
        std::size_t n = 0;
        for (const Policy::Decision &decision : pass.decisions) {
            if (const auto *move = std::get_if<Fleet::MoveStarted>(&decision.event)) {
                taken.insert(move->instance);
                ++n;
            } else if (const auto *start = std::get_if<Fleet::MaintenanceStarted>(&decision.event)) {
                taken.insert(start->instance);
                ++n;
            }
        }
        CHECK_EQUAL(n, taken.size());
        model.acknowledgeDrains();
    }
}

TEST(MovePlanner, LendsWholeInstancesOfTheSparePoolToTheLargestSurge)
{
    setDemand(70, 60, 20);
    const Policy::FleetView view(model.state, model.identity.zone, {});
    // The spare pool has 48 slots and a demand of 20: three whole instances are free.
    CHECK_EQUAL(3, Policy::lendableInstances(view, model.state.document, model.observations.demands).size());
    const auto allocations =
        Policy::allocateForSurges(view, model.state.document, model.observations.demands);
    CHECK_EQUAL(2, allocations.size());
    CHECK_EQUAL(3, allocations.front().lentInstances.size());
    CHECK(allocations.front().pool == poolName(0));
    CHECK(allocations.back().lentInstances.empty());
    DOUBLES_EQUAL(12, allocations.back().queuedSlots, 0.001);
}

TEST(MovePlanner, ASurgeThrottlesBatchBeforeItBorrowsInstances)
{
    setDemand(70, 20, 20);
    model.observations.demands.front().busyBatchSlots = 15;
    const Policy::FleetView view(model.state, model.identity.zone, {});
    const auto allocations =
        Policy::allocateForSurges(view, model.state.document, model.observations.demands);
    DOUBLES_EQUAL(15, allocations.front().throttledBatchSlots, 0.001);
    CHECK_EQUAL(1, allocations.front().lentInstances.size());
}

TEST(MovePlanner, MovesFarLessThanTheBaselineAndKeepsTheBudget)
{
    for (const Document::Weights &weights : {PlaquewrightWeights, KapotakshaWeights}) {
        DemandOutcome policySum;
        DemandOutcome baselineSum;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            const DemandScenario shape{.hasSurges = true,
                                       .hasShifts = true,
                                       .hasRackFailures = true,
                                       .hasLending = true,
                                       .weights = weights};
            const DemandOutcome policy = simulateDemand(seed, shape, planByPolicy);
            const DemandOutcome baseline = simulateDemand(seed, shape, planMovesByThreshold);
            CHECK_EQUAL_TEXT(0, policy.violationSeconds, seedText(seed).c_str());
            CHECK_TEXT(policy.moves * 10 < baseline.moves, seedText(seed).c_str());
            policySum += policy;
            baselineSum += baseline;
        }
        CHECK(baselineSum.violationSeconds > 0);
        CHECK(policySum.lateRequests < baselineSum.lateRequests);
    }
}

TEST(MovePlanner, SurgesAloneMoveNothing)
{
    DemandScenario shape;
    shape.weights = {.buffer = 0, .moves = 1, .rollOutTime = 4};
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        CHECK_EQUAL_TEXT(0, simulateDemand(seed, shape, planByPolicy).moves, seedText(seed).c_str());
    }
}

TEST(MovePlanner, UnderSurgesAnInstanceIsGivenUpOnceAndNotMovedBack)
{
    // Each of the four service pools can give up one of its three instances.
    constexpr std::size_t MostGiven = 4;
    for (const Document::Weights &weights : {PlaquewrightWeights, KapotakshaWeights}) {
        DemandScenario shape;
        shape.weights = weights;
        shape.seconds *= 2;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            const DemandOutcome outcome = simulateDemand(seed, shape, planByPolicy);
            CHECK_TEXT(outcome.moves <= MostGiven, seedText(seed).c_str());
        }
    }
}
