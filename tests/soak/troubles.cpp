#include "troubles.h"

#include <fmt/format.h>

#include <csignal>
#include <functional>
#include <map>
#include <stdexcept>

using namespace std::chrono_literals;

namespace Soak
{

namespace
{

constexpr Base::Duration Gap = 400ms; // between two members that are signalled in turn

struct Trouble {
    Base::Duration time; ///< until it is over
    std::function<void(Deployment &, Base::Duration time)> begin;
};

Trouble storeTrouble(Base::Duration time, const StoreFaults &faults)
{
    return {time, [faults](Deployment &it, Base::Duration until) {
                it.store.setFaults(faults);
                it.timers.subscribeAfter(until, [&store = it.store] { store.setFaults({}); });
            }};
}

const std::map<std::string, Trouble> &troubles()
{
    static const std::map<std::string, Trouble> Kinds{
        {"kill",
         {1s,
          [](Deployment &it, auto) {
              it.members.signal(0.3, SIGKILL, {}, it.random);
          }}},
        {"kill-all",
         {2s,
          [](Deployment &it, auto) {
              it.members.signal(1, SIGKILL, {}, it.random);
          }}},
        {"restart",
         {8s,
          [](Deployment &it, auto) {
              it.members.signal(0.3, SIGTERM, Gap, it.random);
          }}},
        {"reload",
         {8s,
          [](Deployment &it, auto) {
              it.members.signal(0.5, SIGHUP, Gap, it.random);
          }}},
        {"suspend",
         {4s,
          [](Deployment &it, auto time) {
              it.members.suspend(0.15, time, it.random);
          }}},
        {"store-silent", storeTrouble(4s, {.outage = StoreFaults::Outage::Silent})},
        {"store-busy", storeTrouble(4s, {.outage = StoreFaults::Outage::Busy})},
        {"store-reset", storeTrouble(4s, {.outage = StoreFaults::Outage::Reset})},
        {"store-slow", storeTrouble(5s, {.slowness = 50})},
        {"store-loses-answers", storeTrouble(5s, {.lostShare = 0.3, .lateShare = 0.5})},
        {"workers-crash",
         {4s,
          [](Deployment &it, auto time) {
              it.fleet.crash(0.15, time);
          }}},
        {"workers-restart",
         {1s,
          [](Deployment &it, auto) {
              it.fleet.crash(0.15, 500ms);
          }}},
        {"workers-fail",
         {6s,
          [](Deployment &it, auto time) {
              it.fleet.fail(0.1, time);
          }}},
        {"workers-slow",
         {6s,
          [](Deployment &it, auto time) {
              it.fleet.slowDown(0.15, 1500ms, time);
          }}},
        {"workers-recut",
         {12s,
          [](Deployment &it, auto) {
              it.fleet.recut(0.25);
          }}},
        {"orders-late",
         {20s,
          [](Deployment &it, auto) {
              it.fleet.setLateShare(0.1);
              it.timers.subscribeAfter(8s, [&fleet = it.fleet] { fleet.setLateShare(0); });
          }}},
        {"workers-shrink",
         {8s,
          [](Deployment &it, auto time) {
              it.fleet.shrink(0.3, 0.4, time);
          }}},
        {"hot-workspace",
         {8s,
          [](Deployment &it, auto time) {
              const auto last = it.shape.workspaces.size() - 1;
              it.callers.setHotWorkspace(std::uniform_int_distribution<std::size_t>(0, last)(it.random), 8);
              it.timers.subscribeAfter(time, [&callers = it.callers] { callers.setHotWorkspace(0, 1); });
          }}},
        {"deadly-tasks",
         {8s,
          [](Deployment &it, auto time) {
              it.callers.setDeadlyShare(it.shape.queues.front().name, 0.1);
              it.timers.subscribeAfter(time, [&callers = it.callers] { callers.setDeadlyShare({}, 0); });
          }}},
    };
    return Kinds;
}

} // namespace

std::vector<std::string> troubleKinds()
{
    std::vector<std::string> names;
    for (const auto &[name, trouble] : troubles()) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> scheduleTroubles(Deployment &deployment,
                                          const std::vector<std::string> &kinds,
                                          std::size_t count,
                                          Base::Duration time)
{
    for (const std::string &it : kinds) {
        if (troubles().count(it) == 0) {
            throw std::invalid_argument("no trouble named " + it);
        }
    }
    std::vector<std::string> lines;
    for (std::size_t n = 0; n < count && !kinds.empty(); ++n) {
        const std::string &kind =
            kinds[std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1)(deployment.random)];
        const Base::Duration at(
            std::uniform_int_distribution<std::int64_t>(0, time.count())(deployment.random));
        lines.push_back(fmt::format("{:.1f} s {}", std::chrono::duration<double>(at).count(), kind));
        deployment.timers.subscribeAfter(at, [&deployment, &trouble = troubles().at(kind)] {
            deployment.observer.disturb(trouble.time);
            trouble.begin(deployment, trouble.time);
        });
    }
    return lines;
}

} // namespace Soak
