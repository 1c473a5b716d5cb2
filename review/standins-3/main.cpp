#include "world.h"

#include <algorithm>
#include <iostream>

// Usage: world CASE RECORD, from the root of the repository. Exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not be played. With TROUBLE=0 in the environment the disruption is left out.

namespace
{

using namespace std::chrono_literals;
using World::Clock;
using World::Deployment;
using World::unixMs;
using World::Worker;
namespace json = boost::json;

enum Verdict { Held = 0, Broken = 1, NotPlayed = 2 };

json::object jobOf(std::int64_t tasks, std::int64_t cpu, std::int64_t memory, std::int64_t milliseconds)
{
    return {{"Spec", "text"},
            {"Phases",
             json::array{json::object{
                 {"Count", tasks}, {"Cpu", cpu}, {"MemMb", memory}, {"EstimateMs", milliseconds}}}}};
}

bool isAccepted(const std::shared_ptr<Deployment::Job> &job)
{
    return job->answer == 200;
}

/// A job is handed in whose steps run very often, all of them due at the same time.
Verdict playRepeats(Deployment &world)
{
    if (!world.begin()) {
        return NotPlayed;
    }
    std::vector<std::shared_ptr<Deployment::Job>> plain;
    plain.reserve(4);
    for (int n = 0; n < 4; ++n) {
        plain.push_back(world.submit("third", jobOf(4, 1000, 1000, 4000)));
    }
    json::object repeated = jobOf(1, 500, 200, 300);
    repeated["RepeatCount"] = world.hasTrouble ? 600'000 : 60;
    repeated["StartAtMs"] = unixMs() + 2000;
    std::vector<std::shared_ptr<Deployment::Job>> accepted = plain;
    accepted.push_back(world.submit("first", repeated));
    accepted.push_back(world.submit("other", repeated));
    const auto areAccepted = [&] {
        return std::all_of(accepted.begin(), accepted.end(), isAccepted);
    };
    if (!world.runUntil(areAccepted, 8s)) {
        return NotPlayed;
    }
    world.runFor(25s);
    int unanswered = 0;
    for (const auto &it : accepted) {
        world.get(
            "/" + it->queue + "/" + it->id,
            [&](unsigned status, const json::value &) { unanswered += status == 200 ? 0 : 1; },
            world.members.next());
        world.runFor(500ms);
    }
    const auto after = world.submit("third", jobOf(4, 1000, 1000, 500));
    world.runFor(20s);
    int often = 0;
    int ends = 0;
    for (std::size_t n = 0; n < world.members.size(); ++n) {
        const auto &member = world.members.at(n);
        world.record.line(member.name + " ended " + std::to_string(member.ownEnds)
                          + " times by itself, most memory " + std::to_string(member.mostMemory / 1024)
                          + " MB");
        ends += member.ownEnds;
        often += member.ownEnds >= 3 ? 1 : 0;
    }
    for (const auto &it : plain) {
        const auto done = std::count_if(world.runs.all.begin(), world.runs.all.end(), [&](const auto &run) {
            return run->task.rfind(it->id, 0) == 0 && run->how == "done";
        });
        world.record.line("plain job " + it->id + ": accepted, " + std::to_string(done) + " of 4 tasks done");
    }
    world.record.line("a plain job of the same service afterwards: answer " + std::to_string(after->answer)
                      + " after " + std::to_string(after->attempts) + " attempts, "
                      + std::to_string(world.runsOf(after->id)) + " of 4 tasks started");
    world.record.line("state asked for " + std::to_string(accepted.size()) + " accepted jobs, not told for "
                      + std::to_string(unanswered));
    world.record.line(std::to_string(ends) + " ends in all; " + std::to_string(often) + " of "
                      + std::to_string(world.members.size()) + " daemons ended three times or more");
    return often >= 2 ? Broken : Held;
}

/// One worker in ten is unhealthy for 6.5 s while the others are full.
Verdict playPending(Deployment &world)
{
    if (!world.begin()) {
        return NotPlayed;
    }
    const std::int64_t full = world.hasTrouble ? 9 : 10;
    const auto load = world.submit("first", jobOf(full, 32000, 60000, 30'000));
    const auto isFull = [&] {
        return world.runsOf(load->id) == static_cast<std::size_t>(full);
    };
    if (!world.runUntil(isFull, 10s)) {
        return NotPlayed;
    }
    const auto unhealthy = std::find_if(world.workers.begin(), world.workers.end(), [](const auto &it) {
        return it->service() == "alpha" && it->running() == 0;
    });
    if (world.hasTrouble) {
        (*unhealthy)->setUnhealthy(true);
        world.loop.after(6500ms, [unhealthy] { (*unhealthy)->setUnhealthy(false); });
    }
    std::vector<std::shared_ptr<Deployment::Job>> waiting;
    waiting.reserve(8);
    for (int n = 0; n < 8; ++n) {
        waiting.push_back(world.submit("third", jobOf(1, 2000, 2000, 1000)));
    }
    const auto areAccepted = [&] {
        return std::all_of(waiting.begin(), waiting.end(), isAccepted);
    };
    if (!world.runUntil(areAccepted, 700ms)) {
        return NotPlayed;
    }
    world.runFor(5200ms); // visible_ms + 2 s
    int wrong = 0;
    int asked = 0;
    for (std::size_t n = 0; n < world.members.size(); ++n) {
        const auto begun = static_cast<std::size_t>(std::count_if(
            waiting.begin(), waiting.end(), [&](const auto &it) { return world.runsOf(it->id) > 0; }));
        const std::size_t pending = waiting.size() - begun;
        world.get(
            "/third/",
            [&, pending](unsigned status, const json::value &body) {
                if (status != 200) {
                    return;
                }
                ++asked;
                const auto shown = body.at("Pending").to_number<std::int64_t>();
                const bool isWrong = shown * 2 < static_cast<std::int64_t>(pending);
                wrong += isWrong ? 1 : 0;
                world.record.line((isWrong ? "MIXED: Pending is " : "Pending is ") + std::to_string(shown)
                                  + " while " + std::to_string(pending)
                                  + " jobs that were accepted over 5 s ago have not begun");
            },
            n);
        world.runFor(50ms);
    }
    world.runFor(500ms);
    if (world.hasTrouble) {
        world.record.line("starts refused by the unhealthy worker: "
                          + std::to_string((*unhealthy)->refusedStarts()));
    }
    if (asked == 0) {
        return NotPlayed;
    }
    return wrong > 0 ? Broken : Held;
}

/// A route is dropped, and added again for another service, while one partition of the store is down.
Verdict playRoute(Deployment &world)
{
    if (!world.begin()) {
        return NotPlayed;
    }
    // The queue has jobs on its present service, so its partition is known.
    const auto before = world.submit("other", jobOf(1, 1000, 1000, 300));
    if (!world.runUntil([&] { return isAccepted(before) && world.runsOf(before->id) == 1; }, 8s)) {
        return NotPlayed;
    }
    world.runFor(1500ms);
    const auto writer = world.store.writerOf("spec/" + before->id);
    if (!writer) {
        return NotPlayed;
    }
    world.record.line("jobs of the queue are in partition " + std::to_string(writer->first)
                      + ", which machine " + std::to_string(writer->second) + " owns");
    if (world.hasTrouble) {
        world.store.setDown("keyed.jobs", writer->first, true);
    }
    const auto job = world.submit("other", jobOf(2, 1000, 1000, 4000));
    world.runFor(300ms);
    world.writeConfig(8, {{"first", "alpha"}, {"third", "alpha"}});
    world.runFor(600ms);
    world.writeConfig(11, {{"first", "alpha"}, {"other", "alpha"}, {"third", "alpha"}});
    world.runUntil([&] { return job->attempts > 1 && job->answer == 200; }, 3300ms);
    if (world.hasTrouble) {
        world.store.setDown("keyed.jobs", writer->first, false);
    }
    world.runFor(10s);
    int broken = 0;
    for (const auto &a : world.runs.all) {
        for (const auto &b : world.runs.all) {
            if (a == b || a->task != b->task || b->at < a->at || (a->at == b->at && a.get() > b.get())) {
                continue;
            }
            const bool isParallel = a->endedAt < 0 || b->at < a->endedAt;
            const bool isAfterEnd = a->how == "done" && a->isNoted && !isParallel;
            if (isParallel || isAfterEnd) {
                ++broken;
                world.record.line("TWICE: " + a->task + " on " + a->worker + " from " + std::to_string(a->at)
                                  + " to " + std::to_string(a->endedAt) + " and on " + b->worker + " from "
                                  + std::to_string(b->at) + " to " + std::to_string(b->endedAt));
            }
        }
    }
    if (!isAccepted(job)) {
        return NotPlayed;
    }
    return broken > 0 ? Broken : Held;
}

/// A worker crashes just before it is sent a start, and is back after 3 s; later another one crashes for
/// good.
Verdict playGone(Deployment &world)
{
    if (!world.begin()) {
        return NotPlayed;
    }
    std::vector<Worker *> alpha;
    for (const auto &it : world.workers) {
        if (it->service() == "alpha") {
            alpha.push_back(it.get());
        }
    }
    const auto ends = [&](const std::string &job, std::string_view how) {
        return std::count_if(world.runs.all.begin(), world.runs.all.end(), [&](const auto &it) {
            return it->task.rfind(job, 0) == 0 && it->how == how;
        });
    };
    // A task for each worker, so each of them is sent a start.
    if (world.hasTrouble) {
        alpha.front()->crash(3s);
    }
    const auto first = world.submit("first", jobOf(10, 32000, 60000, 1000));
    world.runFor(3s);
    if (!world.runUntil([&] { return ends(first->id, "done") == 10; }, 10s)) {
        return NotPlayed;
    }
    world.runFor(1s);
    if (world.hasTrouble) {
        Worker *const gone = alpha.back();
        gone->crash();
        world.loop.after(4500ms, [&world, gone] { world.store.put("keyed.servers", gone->id(), {}); });
    }
    const auto job = world.submit("first", jobOf(10, 32000, 60000, 1000));
    if (!world.runUntil([&] { return isAccepted(job); }, 4s)) {
        return NotPlayed;
    }
    world.record.line("end of the traffic");
    world.runFor(14s); // finish_s
    const auto until = Clock::now() + 16s;
    auto idleSince = Clock::now();
    bool isLost = false;
    while (Clock::now() < until) {
        world.runFor(100ms);
        const auto done = ends(job->id, "done");
        const bool isRunning = std::any_of(world.runs.all.begin(), world.runs.all.end(), [&](const auto &it) {
            return it->task.rfind(job->id, 0) == 0 && it->endedAt < 0;
        });
        if (done == 10 || isRunning) {
            idleSince = Clock::now();
        } else if (Clock::now() - idleSince > 3s && !std::exchange(isLost, true)) {
            world.record.line("LOST: " + std::to_string(done)
                              + " of 10 tasks are done, nothing of the job has run for 3 s, and all "
                              + std::to_string(alpha.size() - 1) + " workers of the service are empty");
        }
    }
    world.record.line("in the end " + std::to_string(ends(job->id, "done")) + " of 10 tasks are done");
    return isLost ? Broken : Held;
}

/// A job has more tasks that last than the first half of its service's workers may run.
Verdict playCells(Deployment &world)
{
    world.workersOf = {{"alpha", 100}};
    if (!world.begin()) {
        return NotPlayed;
    }
    const std::int64_t tasks = world.hasTrouble ? 60 : 40;
    const json::object lasting{{"Spec", "text"},
                               {"Phases",
                                json::array{json::object{{"Count", tasks},
                                                         {"Cpu", 1000},
                                                         {"MemMb", 1000},
                                                         {"EstimateMs", 600},
                                                         {"AntiAffinity", 1},
                                                         {"LongRunning", true}}}}};
    const auto job = world.submit("first", lasting);
    if (!world.runUntil([&] { return isAccepted(job) && world.runsOf(job->id) > 0; }, 8s)) {
        return NotPlayed;
    }
    world.runFor(3s);
    world.record.line("end of the traffic");
    world.runFor(14s); // finish_s
    const auto running = [&] {
        std::set<std::string> found;
        for (const auto &run : world.runs.all) {
            if (run->task.rfind(job->id, 0) == 0 && run->endedAt < 0) {
                found.insert(run->task);
            }
        }
        return found;
    };
    std::set<std::string> ran = running();
    const auto until = Clock::now() + 20s;
    while (Clock::now() < until) {
        world.runFor(100ms);
        ran.merge(running());
    }
    const auto empty = std::count_if(
        world.workers.begin(), world.workers.end(), [](const auto &it) { return it->running() == 0; });
    const auto lost = static_cast<std::int64_t>(tasks) - static_cast<std::int64_t>(ran.size());
    world.record.line(std::to_string(ran.size()) + " of " + std::to_string(tasks)
                      + " tasks that last have run for 20 s, " + std::to_string(empty)
                      + " workers of the service are empty");
    if (lost > 0 && empty >= 2 * lost) {
        world.record.line("LOST: " + std::to_string(lost) + " tasks that last do not run");
        return Broken;
    }
    return lost == 0 ? Held : NotPlayed;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: world CASE RECORD\n";
        return NotPlayed;
    }
    try {
        const std::map<std::string, Verdict (*)(Deployment &)> cases{{"route", &playRoute},
                                                                     {"repeats", &playRepeats},
                                                                     {"gone", &playGone},
                                                                     {"cells", &playCells},
                                                                     {"pending", &playPending}};
        Deployment world(argv[2]);
        const Verdict verdict = cases.at(argv[1])(world);
        world.record.line(verdict == Broken     ? "the rule was broken"
                              : verdict == Held ? "the rule held"
                                                : "the case could not be played");
        return verdict;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return NotPlayed;
    }
}
