#include "faulthistory.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace std::chrono_literals;

namespace
{

using Builds = FaultHistory::Builds;

// Long ones last longer than leases.
enum class Tasks { Short, Long };

// Jobs arrive while workers crash, become unreachable or answer late, members are killed and replaced, and
// the store is unavailable or loses answers. With more than one cell, some jobs belong to another cell than
// the one that their ID maps to.
void playHistory(std::uint32_t seed,
                 std::uint32_t cells = 1,
                 Builds builds = Builds::Today,
                 Tasks tasks = Tasks::Short)
{
    FaultHistory history(seed, cells, builds);
    SimulatedPlatform &world = history.world;
    if (tasks == Tasks::Long) {
        world.taskTime = std::chrono::seconds(2 + seed % 5);
        history.shortenLeases(6s);
    }
    history.addWorkers(4, tasks == Tasks::Long ? 16'000 : 6000);
    for (int n = 0; n < 3; ++n) {
        history.addMember();
    }
    world.run(2s);
    world.failureShare = 0.03;
    for (int step = 0; step < 40; ++step) {
        const auto stages = static_cast<std::uint32_t>(history.pick(1, 3));
        auto spec = SimulatedPlatform::makeJob(
            "j" + std::to_string(step), stages, static_cast<std::uint32_t>(history.pick(1, 5)));
        if (cells > 1 && step % 3 == 0) {
            spec.stages[0].requiredLabel = "r" + std::to_string(step % 4);
        }
        history.submit(spec);
        history.causeTrouble();
        world.run(history.pickTime(50ms, 1500ms));
    }
    for (const std::string &it : history.finish(tasks == Tasks::Long ? 150s : 60s)) {
        FAIL(it.c_str());
    }
}

} // namespace

TEST_GROUP(Faults){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(Faults, NoTaskRunsTwiceAndNoJobIsLost)
{
    for (std::uint32_t seed = 1; seed <= 150; ++seed) {
        playHistory(seed);
    }
}

TEST(Faults, NoTaskRunsTwiceAndNoJobIsLostInADividedService)
{
    for (std::uint32_t seed = 1; seed <= 150; ++seed) {
        playHistory(seed, 2);
    }
}

TEST(Faults, NoTaskRunsTwiceAndNoJobIsLostWithTwoBuildsSideBySide)
{
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        playHistory(seed, 1 + seed % 2, Builds::Two);
    }
}

TEST(Faults, NoTaskThatOutlastsItsLeaseRunsTwice)
{
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        playHistory(seed, 1, Builds::Today, Tasks::Long);
    }
}
