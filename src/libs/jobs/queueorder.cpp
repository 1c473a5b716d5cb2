#include "queueorder.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <span>
#include <vector>

namespace Jobs
{

namespace
{

// Estimates are off by up to a half in either direction, so a job that has not started needs slack of this
// share of its critical path. Where run times are learned, their error takes its place, within the bounds.
constexpr double EstimateMargin = 0.2;
constexpr double LargestMargin = 0.4;

// Core-seconds below which all jobs count as equally small.
constexpr double MinWork = 0.3;

// A started job loses its precedence only once it is late by more than this share of its remaining critical
// path.
constexpr double StartedMargin = 0.3;

enum Group { LongRunning, Started, OnTime, AtRisk, Late, StartedExcess, Excess, Expired };

struct Rank {
    Group group = Expired;
    std::uint32_t priority = 0;
    double order = 0;

    auto operator<=>(const Rank &) const = default;
};

// Core-seconds.
double remainingWork(const UnfinishedOccurrence &it)
{
    double work = 0;
    for (std::size_t n = 0; n < it.occurrence->stages.size(); ++n) {
        const Stage &stage = it.job->spec.stages[n];
        const double left = stage.count - it.occurrence->stages[n].done;
        work += left * double(stage.size.milliCores) / 1000
            * double(it.job->expectedTime(*it.occurrence, n).count()) / 1000;
    }
    return work;
}

// The share of its critical path by which an occurrence may take longer.
double estimateMargin(const Occurrence &occurrence)
{
    std::optional<double> largest;
    for (const StageProgress &it : occurrence.stages) {
        if (!it.isDone() && it.expectation) {
            largest = std::max(largest.value_or(EstimateMargin), it.expectation->error);
        }
    }
    return std::min(largest.value_or(EstimateMargin), LargestMargin);
}

// Work is capped at this share of the mean in the order, because the largest jobs would have to wait too
// often otherwise.
constexpr double LargeShare = 0.75;

// Core-seconds above which all jobs count as equally large. `works` is the remaining work of each occurrence
// that is not long-running.
double largeWork(std::span<const double> works)
{
    const double sum = std::accumulate(works.begin(), works.end(), 0.0);
    return std::max(MinWork, works.empty() ? 0 : LargeShare * sum / double(works.size()));
}

// `work` is the remaining work as used for the order; 0 for long-running jobs.
Rank rank(const UnfinishedOccurrence &it, WallTime now, double work)
{
    const Job &job = *it.job;
    const std::uint32_t priority = job.spec.queue.priority;
    if (job.spec.isLongRunning()) {
        return {LongRunning, priority, double(job.acceptedAt.time_since_epoch().count())};
    }
    const double criticalPath = double(job.remainingCriticalPath(*it.occurrence).count());
    const double margin = estimateMargin(*it.occurrence);
    const double slack = double((job.objective(it.number) - now).count()) - criticalPath;
    // Slack times the square root of the work: urgent and small jobs go first, without starving large ones.
    const double spare = std::max(0.0, slack - margin * criticalPath);
    const double order = spare * std::sqrt(work);
    if (job.hasStarted && slack >= -StartedMargin * criticalPath) {
        return {job.spec.isExcess ? StartedExcess : Started, priority, order};
    }
    const double lateSlack = double((job.lateLimit(it.number) - now).count()) - criticalPath;
    const bool isUseful = lateSlack >= margin * criticalPath;
    if (job.spec.isExcess && isUseful) {
        return {Excess, priority, lateSlack};
    }
    if (slack >= margin * criticalPath) {
        return {OnTime, priority, order};
    }
    if (slack >= 0) {
        return {AtRisk, priority, order};
    }
    if (isUseful) {
        return {Late, priority, lateSlack};
    }
    // Newest first: as estimates are rough, the newest of the seemingly expired jobs are the most likely to
    // still be of use.
    return {Expired, priority, -double(job.acceptedAt.time_since_epoch().count())};
}

} // namespace

bool canMeetObjective(
    const Job &job, std::uint32_t number, const Occurrence &occurrence, WallTime now, Milliseconds spent)
{
    return job.spec.isLongRunning()
        || now + job.remainingCriticalPath(occurrence) - spent <= job.objective(number);
}

void sortByUrgency(std::vector<UnfinishedOccurrence> &ready, WallTime now)
{
    std::vector<std::pair<Rank, UnfinishedOccurrence>> ranked;
    ranked.reserve(ready.size());
    std::vector<double> works;
    works.reserve(ready.size());
    for (const UnfinishedOccurrence &it : ready) {
        if (!it.job->spec.isLongRunning()) {
            works.push_back(remainingWork(it));
        }
    }
    const double large = largeWork(works);
    auto work = works.begin();
    for (const UnfinishedOccurrence &it : ready) {
        const bool isLongRunning = it.job->spec.isLongRunning();
        ranked.emplace_back(rank(it, now, isLongRunning ? 0 : std::clamp(*work++, MinWork, large)), it);
    }
    std::stable_sort(
        ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    for (std::size_t n = 0; n < ready.size(); ++n) {
        ready[n] = ranked[n].second;
    }
}

} // namespace Jobs
