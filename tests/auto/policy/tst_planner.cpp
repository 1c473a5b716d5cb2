#include "fleetmodel.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(Planner)
{
    FleetModel model{FleetShape{}};

    void setup() override
    {
        model.state.document.maintenance.wave = {poolName(0)};
        model.state.document.maintenance.waveNumber = 1;
    }

    Policy::PlanResult passOnce() const
    {
        return Policy::plan(model.state, model.observations, model.memory, model.identity);
    }
};

TEST(Planner, TheSameArgumentsGiveTheSamePass)
{
    CHECK(passOnce() == passOnce());
    CHECK_EQUAL(1, passOnce().decisions.size());
}

TEST(Planner, DecidesNothingTwice)
{
    const Policy::PlanResult first = passOnce();
    model.memory = first.memory;
    const Policy::PlanResult second = passOnce();
    CHECK(second.decisions.empty());
    STRCMP_CONTAINS("have not been read back", second.deferrals.front().reason.c_str());
    for (const Policy::Decision &it : first.decisions) {
        model.apply(it.event);
    }
    CHECK_EQUAL(0, countOf<Fleet::WaveStarted>(passOnce().decisions));
}

TEST(Planner, ActionIdsComeFromTermAndOffset)
{
    const auto pass = passOnce();
    const auto &started = std::get<Fleet::WaveStarted>(pass.decisions.front().event);
    STRCMP_EQUAL("z00-1-1-0", started.id.value.c_str());
}

TEST(Planner, DecidesNothingWithoutTheLease)
{
    model.identity.term = {0};
    CHECK(passOnce().decisions.empty());
    model.identity.term = {1};
    model.state.planners.at(zoneName(0)).holder = {"m1"};
    CHECK(passOnce().decisions.empty());
    model.state.planners.clear();
    CHECK(passOnce().decisions.empty());
}

TEST(Planner, DecidesNothingWhileThePlatformOrPeersAreUnreachable)
{
    model.observations.isPlatformReachable = false;
    STRCMP_CONTAINS("platform is not reachable", passOnce().deferrals.front().reason.c_str());
    CHECK(passOnce().decisions.empty());
    model.observations.isPlatformReachable = true;
    model.observations.arePeersReachable = false;
    CHECK(passOnce().decisions.empty());
}

TEST(Planner, AGoneInstanceFailsAndRecoversAfterItHasBeenHealthyLongEnough)
{
    const Base::InstanceName name{"z00-i00000"};
    model.report(name).state = Fleet::PlatformState::Gone;
    model.pass(1);
    CHECK(model.instance(name.value).phase == Fleet::InstancePhase::Failed);
    model.report(name).state = Fleet::PlatformState::Live;
    model.pass(10);
    const Policy::PlanResult early = model.pass(39);
    CHECK_EQUAL(0, countOf<Fleet::InstanceRecovered>(early.decisions));
    const Policy::PlanResult pass = model.pass(40);
    CHECK_EQUAL(1, countOf<Fleet::InstanceRecovered>(pass.decisions));
}

TEST(Planner, AnEntirelyEjectedPoolIsNotRecordedAsFailed)
{
    for (std::size_t n = 0; n < 12; ++n) {
        model.report(model.state.document.instances.at(n).name).isEjected = true;
    }
    model.pass(1);
    const Policy::PlanResult pass = model.pass(100);
    CHECK_EQUAL(0, countOf<Fleet::InstanceFailed>(pass.decisions));
}

TEST(Planner, TheLeaseIsClaimedOnlyWhenItsHolderIsNotListed)
{
    CHECK_FALSE(Policy::claimLease(model.state, model.observations, {"m1"}, zoneName(0)).has_value());
    model.observations.liveMembers = {{"m1"}};
    const auto claim = Policy::claimLease(model.state, model.observations, {"m1"}, zoneName(0));
    CHECK(claim.has_value());
    CHECK(std::get<Fleet::PlannerClaimed>(claim->event).previousTerm == Fleet::Offset{1});
}
