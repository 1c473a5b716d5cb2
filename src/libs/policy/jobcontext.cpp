#include "jobcontext.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace Policy
{

JobContext::JobContext(const JobTable &jobs,
                       const JobObservations &jobObservations,
                       const JobMemory &jobMemory)
    : table(jobs)
    , observations(jobObservations)
    , memory(jobMemory)
    , spaces(table, observations.workers, memory.peaks)
{
    for (const WorkerReport &it : observations.workers) {
        largest.cores = std::max(largest.cores, it.total.cores);
        largest.memory = std::max(largest.memory, it.total.memory);
        largest.accelerators = std::max(largest.accelerators, it.total.accelerators);
    }
}

void JobContext::decide(JobEvent event)
{
    table.apply(event);
    events.push_back(std::move(event));
}

void JobContext::end(const JobState &job, JobResult result, Base::Verdict verdict, std::string reason)
{
    const Base::InstanceName worker = job.worker;
    const JobId id = job.spec.id;
    memory.peaks.erase(id);
    decide(JobEnded{id, result, verdict, std::move(reason)});
    spaces.recount(table, worker);
}

void JobContext::release(const JobState &job, bool hasFailed, std::string reason)
{
    const Base::InstanceName worker = job.worker;
    const JobId id = job.spec.id;
    memory.peaks.erase(id);
    decide(JobReleased{id, job.attempt, hasFailed, std::move(reason)});
    spaces.recount(table, worker);
}

void JobContext::stop(const JobState &job, StopMode mode, std::string reason)
{
    const Base::InstanceName worker = job.worker;
    memory.stopSince.try_emplace(job.spec.id, observations.at);
    decide(JobStopRequested{job.spec.id, job.attempt, mode, std::move(reason)});
    spaces.recount(table, worker);
}

void JobContext::throttle(const JobState &job, std::uint32_t perMille, std::string reason)
{
    const Base::InstanceName worker = job.worker;
    decide(JobThrottled{job.spec.id, job.attempt, perMille, std::move(reason)});
    spaces.recount(table, worker);
}

std::vector<const JobState *> JobContext::running() const
{
    std::vector<const JobState *> jobs;
    for (const auto &[id, it] : table.open) {
        if (it.phase != JobPhase::Waiting) {
            jobs.push_back(&it);
        }
    }
    return jobs;
}

std::vector<const JobState *> JobContext::waiting(bool urgent) const
{
    std::vector<const JobState *> jobs;
    for (const auto &[id, it] : table.open) {
        if (it.phase == JobPhase::Waiting && isUrgent(it) == urgent) {
            jobs.push_back(&it);
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const JobState *a, const JobState *b) {
        return a->sequence < b->sequence;
    });
    return jobs;
}

double JobContext::quotaOf(const TeamName &team) const
{
    const auto &quotas = observations.quotas;
    const auto it = std::lower_bound(
        quotas.begin(), quotas.end(), team, [](const TeamQuota &quota, const TeamName &name) {
            return quota.team < name;
        });
    return it == quotas.end() || it->team != team ? 0 : it->cores;
}

JobSize JobContext::sizeOf(const JobState &job) const
{
    JobSize size = expectedSize(memory.sizes, job.spec);
    size.cores = std::min(size.cores, largest.cores);
    size.memory = std::min(size.memory, largest.memory);
    return size;
}

bool isUrgent(const JobState &job)
{
    return job.spec.priority == Document::Priority::Urgent;
}

bool canStop(const JobState &job)
{
    return job.spec.canCheckpoint || job.spec.isIdempotent;
}

std::string toString(const JobSize &size)
{
    return fmt::format(
        "{:.1f} cores, {:.1f} GB, {} accelerators", size.cores, size.memory, size.accelerators);
}

} // namespace Policy
