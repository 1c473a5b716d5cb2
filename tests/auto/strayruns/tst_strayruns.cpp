#include "simulatedplatform.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace std::chrono_literals;

namespace
{

using Milliseconds = std::chrono::milliseconds;

// A worker is cut off for longer than its lease and comes back with the end of a run that has been repeated
// elsewhere.
void cutOffAWorker(SimulatedPlatform &world, Milliseconds time)
{
    auto &unreachableFrom = world.workers["w1"].unreachableFrom;
    for (const auto &[name, member] : world.members) {
        unreachableFrom.insert(name);
    }
    world.run(time);
    unreachableFrom.clear();
}

void submitLimitedJob(SimulatedPlatform &world, Milliseconds taskTime)
{
    for (const char *it : {"w1", "w2", "w3"}) {
        world.addWorker(it);
    }
    world.addMember("m1");
    world.run(1s);
    world.taskTime = taskTime;
    auto job = SimulatedPlatform::makeJob("a", 1, 20);
    job.stages[0].tasksPerWorker = 1;
    CHECK(world.submit(job));
    world.run(200ms);
}

void checkNoViolations(const SimulatedPlatform &world, const std::string &context)
{
    for (const std::string &it : world.violations) {
        FAIL((context + it).c_str());
    }
}

// `trouble` happens when the worker can be reached again.
template<typename Trouble>
void forEachOutage(Trouble trouble)
{
    for (Milliseconds taskTime = 1000ms; taskTime < 3000ms; taskTime += 250ms) {
        for (Milliseconds outage = 3000ms; outage <= 6500ms; outage += 500ms) {
            SimulatedPlatform world;
            submitLimitedJob(world, taskTime);
            cutOffAWorker(world, outage);
            trouble(world);
            world.run(60s);
            checkNoViolations(world, fmt::format("tasks {}, outage {}: ", taskTime.count(), outage.count()));
            CHECK(world.state("a") == JobService::ReportedState::Completed);
        }
    }
}

} // namespace

TEST_GROUP(StrayRuns){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(StrayRuns, AnEndOfAFormerRunKeepsTheTaskLimitOfOtherWorkers)
{
    forEachOutage([](SimulatedPlatform &) {});
}

TEST(StrayRuns, ANextOwnerKeepsTheTaskLimitAfterAnEndOfAFormerRun)
{
    forEachOutage([](SimulatedPlatform &world) {
        world.run(200ms);
        world.addMember("m2");
        world.kill("m1");
    });
}

TEST(StrayRuns, AnEndOfAFormerRunKeepsTheTaskLimitWhileItsLaterRunIsBeingStopped)
{
    forEachOutage([](SimulatedPlatform &world) {
        for (auto &[id, worker] : world.workers) {
            worker.longestStop = 1500ms;
        }
    });
}
