#include "restartedfleet.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

using CrashKind = SimulatedPlatform::CrashKind;

TEST_GROUP(LateOrders){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(LateOrders, AStartThatTheNextIncarnationTakesLateIsNotGivenUpBefore)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        Fleet fleet(seed);
        fleet.w1().delayedShare = 1;
        fleet.submit("a");
        fleet.world.crash("w1", 0ms, CrashKind::Silent);
        fleet.cutOffFirstWorker();
        fleet.w1().delayedShare = 0;
        fleet.checkThatTaskRunsOnSecondWorker();
    }
}
