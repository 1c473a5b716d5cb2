#include "queueorder.h"

#include <algorithm>
#include <cmath>

namespace Jobs
{

namespace
{

// Estimates are off by half either way, so a job that begins needs this share of its chain to spare.
constexpr double EstimateMargin = 0.2;

// Core-seconds below which jobs count as equally small.
constexpr double LeastWork = 0.3;

// A job that has begun is given up only when it is later than this share of what is left.
constexpr double BegunMargin = 0.3;

enum Group { Endless, Begun, InTime, Tight, Late };

struct Rank {
    Group group = Late;
    std::uint32_t priority = 0;
    double order = 0;

    auto operator<=>(const Rank &) const = default;
};

// Core-seconds.
double remainingWork(const ReadyOccurrence &it)
{
    double work = 0;
    for (std::size_t n = 0; n < it.occurrence->stages.size(); ++n) {
        const Stage &stage = it.job->spec.stages[n];
        const double left = stage.count - it.occurrence->stages[n].done;
        work += left * double(stage.size.milliCores) / 1000 * double(stage.estimate.count()) / 1000;
    }
    return work;
}

Rank rank(const ReadyOccurrence &it, WallTime now)
{
    const Job &job = *it.job;
    const std::uint32_t priority = job.spec.queue.priority;
    if (job.spec.isLongRunning()) {
        return {Endless, priority, double(job.acceptedAt.time_since_epoch().count())};
    }
    const double chain = double(job.remainingChain(*it.occurrence).count());
    const double slack = double((job.objective(it.number) - now).count()) - chain;
    // Slack times the root of the work: the urgent before the large, without starving the large.
    const double spare = std::max(0.0, slack - EstimateMargin * chain);
    const double order = spare * std::sqrt(std::max(LeastWork, remainingWork(it)));
    if (job.hasStarted && slack >= -BegunMargin * chain) {
        return {Begun, priority, order};
    }
    if (slack >= EstimateMargin * chain) {
        return {InTime, priority, order};
    }
    if (slack >= 0) {
        return {Tight, priority, order};
    }
    // The newest have the best chance of being only a little late.
    return {Late, priority, -double(job.acceptedAt.time_since_epoch().count())};
}

} // namespace

bool canMeetObjective(
    const Job &job, std::uint32_t number, const Occurrence &occurrence, WallTime now, Milliseconds spent)
{
    return job.spec.isLongRunning() || now + job.remainingChain(occurrence) - spent <= job.objective(number);
}

void sortByUrgency(std::vector<ReadyOccurrence> &ready, WallTime now)
{
    std::vector<std::pair<Rank, ReadyOccurrence>> ranked;
    ranked.reserve(ready.size());
    for (const ReadyOccurrence &it : ready) {
        ranked.emplace_back(rank(it, now), it);
    }
    std::stable_sort(
        ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    for (std::size_t n = 0; n < ready.size(); ++n) {
        ready[n] = ranked[n].second;
    }
}

} // namespace Jobs
