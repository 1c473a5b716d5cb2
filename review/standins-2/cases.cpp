#include "cases.h"

#include <fmt/format.h>

#include <atomic>
#include <stdexcept>
#include <thread>

using namespace std::chrono_literals;

namespace Review
{

namespace
{

constexpr const char *Prefix = "/sheets/";

// Bounds of a small deployment.
constexpr Milliseconds ConfigApplyTime{2000};
constexpr Milliseconds VisibleTime{3000};
constexpr Milliseconds FinishTime{14'000};
constexpr Milliseconds CalmTime{3000};

// An order without an answer may be carried out 2 to 12 s later.
constexpr Milliseconds LateTime{5600};

void require(bool condition, const char *what)
{
    if (!condition) {
        throw std::runtime_error(what);
    }
}

void addMachines(Deployment &deployment, const std::string &pool, int count)
{
    deployment.perform([&](Cloud &cloud) {
        for (int n = 0; n < count; ++n) {
            cloud.addMachine(fmt::format("m-{}-{}", pool, n + 1), pool, fmt::format("r1-{}", n / 4 + 1));
        }
    });
}

} // namespace

void moveQueue(const std::string &program, World &world, bool hasTrouble)
{
    const Queue before{"sheets", Prefix, "alpha"};
    const Queue after{"sheets", Prefix, "beta"};
    const Queue other{"boards", "/boards/", "alpha"};
    const std::vector<std::string> services{"alpha", "beta"};
    Deployment deployment(program, world, 3);
    addMachines(deployment, "alpha", 3);
    addMachines(deployment, "beta", 3);
    deployment.operate("config", configuration(1, {other, before}, services));
    require(deployment.start(), "the members do not become ready");
    const Job job{"5c0e7a21d94b36f8", {Step{.count = 2, .work = 14'000ms}}};
    require(deployment.submit(Prefix, job), "the job is not accepted");
    require(waitFor([&] { return world.running(job.id) == 2; }, 8000ms), "the job does not begin");
    if (hasTrouble) {
        deployment.operate("config", configuration(2, {other}, services));
        pause(1000ms);
        deployment.operate("config", configuration(4, {other, after}, services));
    }
    pause(ConfigApplyTime + VisibleTime);
    if (const auto state = deployment.stateOf(Prefix, job.id); state.status == 410) {
        world.broken("LOST", "an accepted job that nobody cancelled is answered with 410");
    }
    // The client's request arrives again, which the pages allow at any daemon after the 2xx.
    deployment.submit(Prefix, job);
    pause(3000ms);
    waitFor([&] { return world.running(job.id) == 0; }, 20'000ms);
    pause(1000ms);
    if (const auto state = deployment.stateOf(Prefix, job.id); state.status == 410) {
        world.broken("LOST", "an accepted job that nobody cancelled is answered with 410");
    }
    world.note(fmt::format("{} runs of its two tasks ended done", world.ends(job.id, "done")));
}

void submitWideJob(const std::string &program, World &world, bool hasTrouble)
{
    constexpr std::uint32_t WideCount = 7000;
    constexpr std::uint32_t UsualCount = 700;
    constexpr std::int64_t PoolMilliCores = 144'000;
    constexpr Milliseconds TrafficTime{10'000};
    Deployment deployment(program, world, 3);
    addMachines(deployment, "alpha", 9);
    deployment.operate("config", configuration(1, {{"sheets", Prefix, "alpha"}}, {"alpha"}));
    require(deployment.start(), "the members do not become ready");
    const Job wide{"5c0e7a21d94b36f8",
                   {Step{.work = 1500ms},
                    Step{.count = hasTrouble ? WideCount : UsualCount,
                         .milliCores = 16,
                         .memory = 20,
                         .work = 2000ms,
                         .dependsOn = {0}}}};
    require(deployment.submit(Prefix, wide), "the job is not accepted");
    std::vector<std::string> accepted{wide.id};
    std::size_t rejected = 0;
    const auto trafficEnd = std::chrono::steady_clock::now() + TrafficTime;
    for (int n = 0; std::chrono::steady_clock::now() < trafficEnd; ++n) {
        const Job job{fmt::format("{:016x}", 4096 + n), {Step{.count = 2, .work = 300ms}}};
        if (deployment.submit(Prefix, job)) {
            accepted.push_back(job.id);
        } else {
            ++rejected;
        }
        pause(200ms);
    }
    world.note(
        fmt::format("the traffic ends; {} jobs were accepted, {} were not", accepted.size(), rejected));
    pause(FinishTime);
    std::size_t stalled = 0;
    const auto isCompleted = [](const Deployment::Answer &it) {
        return it.status == 200 && it.body.find("completed") != std::string::npos;
    };
    for (const std::string &it : accepted) {
        if (isCompleted(deployment.stateOf(Prefix, it))) {
            continue;
        }
        // For 3 s nothing of it runs, though a task's turn has come and most of the service is free.
        const auto until = std::chrono::steady_clock::now() + CalmTime;
        bool isStalled = stalled == 0;
        while (isStalled && std::chrono::steady_clock::now() < until) {
            isStalled = world.running(it) == 0 && world.usedMilliCores() * 2 < PoolMilliCores;
            pause(20ms);
        }
        if (isStalled) {
            ++stalled;
            world.broken("LOST",
                         fmt::format("job {}: nothing of it runs for 3 s, {} of its tasks are done",
                                     it,
                                     world.done(it)));
        }
    }
}

void delayUpkeep(const std::string &program, World &world, bool hasTrouble)
{
    Deployment deployment(program, world, 3);
    const std::vector<std::string> services{"alpha", "beta"};
    const std::string betaPrefix = "/boards/";
    deployment.perform([&](Cloud &cloud) {
        for (int n = 1; n <= 3; ++n) {
            cloud.addMachine(fmt::format("m-b{}", n), "alpha", "r1-1");
            cloud.addMachine(fmt::format("m-a{}", n), "beta", "r1-2");
        }
    });
    std::atomic<bool> wasOrdered = false;
    std::string holder;
    deployment.perform([&](Cloud &cloud) {
        cloud.setUpkeep(
            [&](const std::string &, const std::string &by) {
                if (!hasTrouble || wasOrdered) {
                    return Cloud::Treatment{};
                }
                holder = by;
                wasOrdered = true;
                return Cloud::Treatment{false, LateTime};
            },
            1);
    });
    deployment.operate(
        "config", configuration(1, {{"sheets", Prefix, "alpha"}, {"boards", betaPrefix, "beta"}}, services));
    require(deployment.start(), "the members do not become ready");
    pause(3000ms);
    // The load turns from one service to the other.
    std::atomic<bool> isOver = false;
    std::atomic<bool> hasTurned = false;
    std::thread load([&] {
        for (int n = 0; !isOver; ++n) {
            const Job job{fmt::format("{:016x}", 4096 + n),
                          {Step{.count = 6, .milliCores = 1000, .work = 700ms}}};
            deployment.submit(hasTurned ? Prefix : betaPrefix, job);
            pause(300ms);
        }
    });
    pause(1500ms);
    deployment.operate("wave/1",
                       R"({"Wave":1,"Machines":["m-a1","m-a2","m-b1","m-b2"],"DurationS":26,"Cap":1})");
    if (hasTrouble) {
        waitFor([&] { return wasOrdered.load(); }, 15'000ms);
        hasTurned = true;
        pause(1500ms);
        if (wasOrdered) {
            deployment.killMember(holder);
            pause(300ms);
            deployment.startMember(holder);
        }
    }
    pause(24'000ms);
    isOver = true;
    load.join();
    require(!hasTrouble || wasOrdered, "no upkeep was ordered");
}

void maintainNewMachine(const std::string &program, World &world, bool hasTrouble)
{
    const std::string added = "m-alpha-added";
    Deployment deployment(program, world, 3);
    addMachines(deployment, "alpha", 3);
    const auto addOne = [&] {
        deployment.perform([&](Cloud &cloud) { cloud.addMachine(added, "alpha", "r1-9"); });
    };
    if (!hasTrouble) {
        addOne();
    }
    deployment.operate("config", configuration(1, {{"sheets", Prefix, "alpha"}}, {"alpha"}));
    require(deployment.start(), "the members do not become ready");
    pause(8000ms);
    if (hasTrouble) {
        addOne();
        pause(100ms);
    }
    deployment.operate("wave/1",
                       fmt::format(R"({{"Wave":1,"Machines":["{}"],"DurationS":26,"Cap":1}})", added));
    const auto isCompleted = [&] {
        return deployment.status("wave/1").find("completed") != std::string::npos;
    };
    waitFor(isCompleted, 20'000ms);
    bool hasBegun = false;
    deployment.perform([&](Cloud &cloud) { hasBegun = cloud.isMaintained(added); });
    if (isCompleted() && !hasBegun) {
        world.broken("MIXED", "the wave is said to be completed, and its machine has not begun its upkeep");
    }
}

void submitAdvisedGang(const std::string &program, World &world, bool hasTrouble)
{
    constexpr std::uint32_t WideCount = 13;
    constexpr std::uint32_t UsualCount = 12;
    Deployment deployment(program, world, 3);
    addMachines(deployment, "alpha", 30);
    const Queue queue{.name = "sheets", .prefix = Prefix, .service = "alpha", .hasAdvice = true};
    deployment.operate("config", configuration(1, {queue}, {"alpha"}));
    require(deployment.start(), "the members do not become ready");
    const Step step{
        .count = hasTrouble ? WideCount : UsualCount, .milliCores = 16'000, .work = 1000ms, .isGang = true};
    const Job job{.id = "5c0e7a21d94b36f8", .steps = {step}, .needsTickets = true};
    require(deployment.submit(Prefix, job), "the job is not accepted");
    pause(FinishTime);
    const auto state = deployment.stateOf(Prefix, job.id);
    if (state.body.find("completed") != std::string::npos) {
        return;
    }
    const auto until = std::chrono::steady_clock::now() + CalmTime;
    bool isStalled = true;
    while (isStalled && std::chrono::steady_clock::now() < until) {
        isStalled = world.running(job.id) == 0;
        pause(20ms);
    }
    if (isStalled) {
        world.broken("LOST",
                     fmt::format("job {}: nothing of it runs for 3 s, and all workers are empty", job.id));
    }
}

void crashRacks(const std::string &program, World &world, bool hasTrouble)
{
    constexpr int Workers = 8; // four a rack
    constexpr std::int64_t PoolMilliCores = 128'000;
    constexpr int LongRunningJobs = 3;
    constexpr int Crashes = 4;
    constexpr Milliseconds DownTime{3000};
    constexpr int LastJobs = 10;
    Deployment deployment(program, world, 3);
    addMachines(deployment, "alpha", Workers);
    deployment.operate("config", configuration(1, {{"sheets", Prefix, "alpha"}}, {"alpha"}));
    require(deployment.start(), "the members do not become ready");
    for (int n = 0; n < LongRunningJobs; ++n) {
        const Step step{.count = 8, .isLongRunning = true, .perWorker = 1};
        require(deployment.submit(Prefix, {fmt::format("{:016x}", 256 + n), {step}}),
                "a job is not accepted");
    }
    pause(3000ms);
    for (int n = 0; hasTrouble && n < Crashes; ++n) {
        deployment.perform([&](Cloud &cloud) { cloud.crashRack(fmt::format("r1-{}", n % 2 + 1), DownTime); });
        pause(DownTime + 500ms);
    }
    std::vector<std::string> accepted;
    for (int n = 0; n < LastJobs; ++n) {
        const Job job{fmt::format("{:016x}", 4096 + n), {Step{.count = 2, .work = 300ms}}};
        require(deployment.submit(Prefix, job), "a job is not accepted");
        accepted.push_back(job.id);
        pause(100ms);
    }
    world.note("the traffic ends");
    pause(FinishTime);
    std::vector<std::string> stalled;
    for (const std::string &it : accepted) {
        if (deployment.stateOf(Prefix, it).body.find("completed") == std::string::npos) {
            stalled.push_back(it);
        }
    }
    const auto until = std::chrono::steady_clock::now() + CalmTime;
    while (!stalled.empty() && std::chrono::steady_clock::now() < until) {
        std::erase_if(stalled, [&](const std::string &it) {
            return world.running(it) > 0 || world.usedMilliCores() * 2 >= PoolMilliCores;
        });
        pause(20ms);
    }
    for (const std::string &it : stalled) {
        world.broken("LOST",
                     fmt::format("job {}: nothing of it runs for 3 s, and {} of {} millicores are in use",
                                 it,
                                 world.usedMilliCores(),
                                 PoolMilliCores));
    }
}

} // namespace Review
