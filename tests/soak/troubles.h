#pragma once

#include "callers.h"
#include "fleet.h"
#include "members.h"
#include "store.h"

#include <random>
#include <string>
#include <vector>

namespace Soak
{

/// What troubles act on.
struct Deployment {
    Base::TimerService &timers;
    Store &store;
    Fleet &fleet;
    Members &members;
    Callers &callers;
    Observer &observer;
    const Shape &shape;
    std::mt19937 &random;
};

/// Schedules troubles drawn from `kinds` within the time, `count` of them; later ones may begin before
/// earlier ones are over. Returns a line for each.
std::vector<std::string> scheduleTroubles(Deployment &deployment,
                                          const std::vector<std::string> &kinds,
                                          std::size_t count,
                                          Base::Duration time);

/// The names of all kinds.
std::vector<std::string> troubleKinds();

} // namespace Soak
