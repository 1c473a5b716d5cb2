#include "queueorder.h"

#include <algorithm>
#include <tuple>

namespace Jobs
{

namespace
{

struct Rank {
    int group = 0;
    std::uint32_t priority = 0;
    std::int64_t order = 0; ///< ms

    auto operator<=>(const Rank &) const = default;
};

Rank rank(const ReadyOccurrence &it, WallTime now)
{
    const Job &job = *it.job;
    if (job.spec.isLongRunning()) {
        return {0, job.spec.queue.priority, job.acceptedAt.time_since_epoch().count()};
    }
    const auto slack = job.objective(it.number) - now - job.remainingChain(*it.occurrence);
    if (slack.count() >= 0) {
        return {1, job.spec.queue.priority, slack.count()};
    }
    return {2, job.spec.queue.priority, job.acceptedAt.time_since_epoch().count()};
}

} // namespace

bool canMeetObjective(const Job &job, std::uint32_t number, const Occurrence &occurrence, WallTime now)
{
    return job.spec.isLongRunning() || now + job.remainingChain(occurrence) <= job.objective(number);
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
