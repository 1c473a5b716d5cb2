#pragma once

#include "simulatedplatform.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace std::chrono_literals;

constexpr SimulatedPlatform::Milliseconds LongTask{60'000};
constexpr std::uint32_t Seeds = 20;

/// One service with the workers w1 and w2, of which the members can reach only the first one at the start.
struct Fleet {
    explicit Fleet(std::uint32_t seed = 1)
        : world(seed)
    {
        world.ordersOutliveRestarts = true;
        world.taskTime = LongTask;
        world.addWorker("w1");
        world.addWorker("w2").unreachableFrom = {"m1", "m2"};
        // The first one owns the shard. The list of workers is not published again, so no member gets to know
        // of a restart by it.
        world.addMember("m1");
        world.addMember("m2");
        world.run(2s);
        CHECK(world.members["m1"]->host.owns(0));
    }

    SimulatedPlatform::Worker &w1()
    {
        return world.workers["w1"];
    }

    /// Restarts w1 and starts a task there. Its owner has had no list of the restarted worker.
    void startAfterUnnoticedRestart(const std::string &job)
    {
        world.crash("w1", 0ms, SimulatedPlatform::CrashKind::Silent);
        world.submitted[job] = makeJob(job);
        world.ask({world.homeShardOf(job), JobService::Operation::Submit, world.submitted[job], {}},
                  [](const JobService::JobReply &) {});
        while (world.startedRuns[{job, 0, 0, 0}] == 0) {
            world.run(1ms);
        }
    }

    void submit(const std::string &job)
    {
        CHECK(world.submit(makeJob(job)));
    }

    Jobs::JobSpec makeJob(const std::string &job) const
    {
        Jobs::JobSpec spec = SimulatedPlatform::makeJob(job, 1, 1);
        spec.stages[0].estimate = estimate;
        return spec;
    }

    /// Returns when the next owner has had a list of all workers.
    void killOwner()
    {
        world.kill("m1");
        while (!world.members["m2"]->host.owns(0)) {
            world.run(10ms);
        }
        world.run(100ms);
    }

    void cutOffFirstWorker()
    {
        w1().unreachableFrom = {"m1", "m2", "m3"};
        world.workers["w2"].unreachableFrom.clear();
    }

    /// Waits for as long as an order can be on its way, and its lease after that.
    void checkThatTasksRunOnSecondWorker(std::size_t tasks)
    {
        world.run(world.settings.shard.maxOrderDelay + world.settings.shard.leaseLimit + 5s);
        checkViolations();
        LONGS_EQUAL(tasks, world.runsOn("w2"));
    }

    void checkThatTaskRunsOnSecondWorker()
    {
        checkThatTasksRunOnSecondWorker(1);
    }

    void checkViolations()
    {
        for (const std::string &it : world.violations) {
            FAIL(it.c_str());
        }
    }

    SimulatedPlatform world;
    SimulatedPlatform::Milliseconds estimate{700}; ///< of the tasks of later jobs
};
