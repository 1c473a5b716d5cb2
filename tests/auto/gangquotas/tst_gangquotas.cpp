#include "simulatedplatform.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace std::chrono_literals;

TEST_GROUP(GangQuotas){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

// Guards against a start that brings a workspace above its quota, a tenth and one task.
TEST(GangQuotas, AGangBeyondTheRestOfTheQuotaWaitsUntilItFits)
{
    SimulatedPlatform world;
    for (const char *it : {"w1", "w2"}) {
        world.addWorker(it);
    }
    world.setQuotas({{"a", {8000, 0, 0}}});
    world.addMember("m1");
    world.run(2s);
    world.taskTime = 3s;
    Jobs::JobSpec job = SimulatedPlatform::makeJob("tasks", 1, 4);
    job.workspace = "a";
    CHECK(world.submit(job));
    world.run(500ms);
    LONGS_EQUAL(4000, world.runningOf("a").milliCores);
    Jobs::JobSpec gang = SimulatedPlatform::makeJob("gang", 1, 7);
    gang.workspace = "a";
    gang.stages[0].isGang = true;
    CHECK(world.submit(gang));
    world.run(20s);
    for (const std::string &it : world.violations) {
        FAIL(it.c_str());
    }
    CHECK(world.state("gang") == JobService::ReportedState::Completed);
}
