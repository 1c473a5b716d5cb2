#include "waitreport.h"

#include "placement.h"

#include <algorithm>
#include <tuple>

namespace Jobs
{

std::vector<WaitReport> waitReports(std::span<Job *const> jobs, Milliseconds minWait, Base::Instant now)
{
    std::map<std::tuple<std::string_view, std::string_view, WaitReason>, WaitReport> reports;
    for (const Job *job : jobs) {
        if (job->hasRuns()) {
            continue;
        }
        for (const auto &[number, occurrence] : job->occurrences) {
            for (std::uint32_t n = 0; n < occurrence.stages.size(); ++n) {
                const StageProgress &progress = occurrence.stages[n];
                if (!progress.wait || now - progress.wait->since < minWait) {
                    continue;
                }
                const WaitReason reason = progress.wait->reason;
                const auto waited = std::chrono::duration_cast<Milliseconds>(now - progress.wait->since);
                WaitReport &report = reports[{job->spec.workspace, job->spec.queue.service, reason}];
                report.jobs += report.longest != job ? 1 : 0;
                report.tasks += progress.waitingTasks();
                if (!report.longest || waited > report.longestWait) {
                    report.longest = job;
                    report.stage = n;
                    report.longestWait = waited;
                }
            }
        }
    }
    std::vector<WaitReport> list;
    for (auto &[key, report] : reports) {
        std::tie(report.workspace, report.service, report.reason) = key;
        list.push_back(std::move(report));
    }
    return list;
}

WorkerCounts countWorkers(const std::map<std::string, Worker> &workers,
                          std::string_view service,
                          const Stage &stage,
                          Base::Instant now)
{
    WorkerCounts counts;
    for (const auto &[id, worker] : workers) {
        if (worker.info.service != service || !worker.isListed) {
            continue;
        }
        ++counts.listed;
        counts.evacuated += worker.evacuatedUntil > now ? 1 : 0;
        counts.silent += worker.isSilent() ? 1 : 0;
        counts.isolated += worker.isIsolated(now) ? 1 : 0;
        counts.emptied += worker.emptiedUntil > now ? 1 : 0;
        counts.backedOff += worker.backoffUntil > now ? 1 : 0;
        if (!worker.isUsable(now)) {
            continue;
        }
        Resources room = worker.info.capacity;
        room -= worker.used;
        ++counts.usable;
        counts.withRoom += room.contains(reservedResources(stage)) ? 1 : 0;
    }
    return counts;
}

} // namespace Jobs
