#include "jobtracking.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace Policy
{

namespace
{

using namespace std::chrono_literals;

/// A job that failed on this many healthy workers is considered faulty itself.
constexpr std::size_t MaxFailures = 3;
/// Time for a checkpoint before an idempotent attempt is killed. It is short because urgent jobs wait for it.
constexpr Base::Duration CheckpointTimeout = 4s;

/// The verdict for a job that isn't running. A job that isn't idempotent is released only if its attempt
/// never started or ended with a checkpoint, so without a checkpoint it is proven not to have run.
Base::Verdict verdictOf(const JobState &job)
{
    const bool isProvenNotRun = job.attempt == 0 || (!job.spec.isIdempotent && !job.checkpoint);
    return isProvenNotRun ? Base::Verdict::NotRun : Base::Verdict::MayHaveRun;
}

void endOrRetry(JobContext &context, const JobState &job, const TaskReport &report)
{
    if (!job.spec.isIdempotent) {
        context.end(job,
                    JobResult::Failed,
                    Base::Verdict::Ran,
                    fmt::format("failed on {}: {}; not idempotent", job.worker.value, report.detail));
        return;
    }
    context.release(job, true, fmt::format("failed on {}: {}", job.worker.value, report.detail));
    std::size_t healthy = 0;
    for (const Base::InstanceName &it : job.failedOn) {
        const WorkerSpace *worker = context.spaces.find(it);
        healthy += worker && !worker->isOutlier ? 1 : 0;
    }
    if (healthy >= MaxFailures) {
        context.end(job,
                    JobResult::Failed,
                    Base::Verdict::Ran,
                    fmt::format("failed on {} healthy workers, the last is {}: {}",
                                healthy,
                                job.worker.value,
                                report.detail));
    }
}

void endOrRelease(JobContext &context, const JobState &job)
{
    if (job.stopMode == StopMode::Cancel) {
        context.end(job, JobResult::Cancelled, Base::Verdict::MayHaveRun, "cancelled while it ran");
        return;
    }
    const bool mayRepeat = job.spec.isIdempotent || (job.spec.canCheckpoint && job.checkpoint);
    if (!mayRepeat) {
        context.end(
            job, JobResult::Lost, Base::Verdict::MayHaveRun, "stopped without a checkpoint, not idempotent");
        return;
    }
    context.release(job, false, "stopped to make room");
}

void processTaskReport(JobContext &context, const JobState &job, const TaskReport &report)
{
    JobSize &peak = context.memory.peaks[job.spec.id];
    peak.cores = std::max(peak.cores, report.used.cores);
    peak.memory = std::max(peak.memory, report.used.memory);
    if (report.checkpoint && report.checkpoint != job.checkpoint) {
        context.decide(JobCheckpointed{report.job, report.attempt, *report.checkpoint});
    }
    switch (report.phase) {
    case TaskPhase::Running:
        return;
    case TaskPhase::Completed:
        learnSize(context.memory.sizes, job.spec, peak);
        context.end(job, JobResult::Completed, Base::Verdict::Ran, "the worker completed it");
        return;
    case TaskPhase::Failed:
        endOrRetry(context, job, report);
        return;
    case TaskPhase::Refused:
        context.release(job, true, fmt::format("{} did not begin it: {}", job.worker.value, report.detail));
        return;
    case TaskPhase::Stopped:
        endOrRelease(context, job);
        return;
    }
}

void processTaskReports(JobContext &context)
{
    for (const TaskReport &it : context.observations.tasks) {
        const auto found = context.table.open.find(it.job);
        const bool isCurrent = found != context.table.open.end() && found->second.attempt == it.attempt
            && found->second.phase != JobPhase::Waiting;
        if (isCurrent) {
            processTaskReport(context, found->second, it);
        }
    }
}

void handleLostWorkers(JobContext &context)
{
    for (const JobState *it : context.running()) {
        if (context.spaces.find(it->worker)) {
            continue;
        }
        if (it->phase == JobPhase::Stopping && it->stopMode == StopMode::Cancel) {
            context.end(
                *it, JobResult::Cancelled, Base::Verdict::MayHaveRun, "cancelled, and its worker is gone");
        } else if (it->spec.isIdempotent) {
            context.release(*it, false, fmt::format("worker {} is gone", it->worker.value));
        } else {
            context.end(*it,
                        JobResult::Lost,
                        Base::Verdict::MayHaveRun,
                        fmt::format("worker {} is gone, not idempotent", it->worker.value));
        }
    }
}

void processCancellations(JobContext &context)
{
    for (const JobId &it : context.observations.cancellations) {
        const auto found = context.table.open.find(it);
        if (found == context.table.open.end()) {
            continue;
        }
        const JobState &job = found->second;
        if (job.phase == JobPhase::Waiting) {
            context.end(job, JobResult::Cancelled, verdictOf(job), "cancelled while it waited");
        } else if (job.phase != JobPhase::Stopping || job.stopMode != StopMode::Cancel) {
            context.stop(job, StopMode::Cancel, "cancelled");
        }
    }
}

std::string reasonToRefuse(const JobContext &context, const JobSpec &spec)
{
    const JobSize size = expectedSize(context.memory.sizes, spec);
    const bool fits = std::any_of(context.observations.workers.begin(),
                                  context.observations.workers.end(),
                                  [&size](const WorkerReport &it) { return fitsInto(size, it.total); });
    if (!fits) {
        return fmt::format(
            "no worker could ever hold {}; the largest are {}", toString(size), toString(context.largest));
    }
    if (spec.priority == Document::Priority::Urgent && size.cores > context.quotaOf(spec.team)) {
        return fmt::format("urgent, and {:.1f} cores are more than the quota of {}, {:.1f}",
                           size.cores,
                           spec.team.value,
                           context.quotaOf(spec.team));
    }
    return {};
}

void admitJobs(JobContext &context)
{
    std::set<JobId> refused;
    for (const JobSpec &it : context.observations.submissions) {
        const bool isKnown = context.table.open.contains(it.id) || context.table.ended.contains(it.id)
            || refused.contains(it.id);
        if (isKnown || context.spaces.workers().empty()) {
            continue;
        }
        if (const std::string reason = reasonToRefuse(context, it); !reason.empty()) {
            refused.insert(it.id);
            context.decide(JobRefused{it.id, reason});
        } else {
            context.decide(JobAccepted{it});
        }
    }
}

/// Kills attempts whose checkpoint takes too long if the job is idempotent.
void escalateStops(JobContext &context)
{
    for (const JobState *it : context.running()) {
        const auto since = context.memory.stopSince.find(it->spec.id);
        const bool isLate = it->phase == JobPhase::Stopping && it->stopMode == StopMode::Checkpoint
            && since != context.memory.stopSince.end()
            && context.observations.at - since->second >= CheckpointTimeout;
        if (isLate && it->spec.isIdempotent) {
            context.stop(*it, StopMode::Kill, "no checkpoint in time; the job is idempotent");
        }
    }
}

} // namespace

void trackJobs(JobContext &context)
{
    processTaskReports(context);
    handleLostWorkers(context);
    processCancellations(context);
    admitJobs(context);
    escalateStops(context);
}

} // namespace Policy
