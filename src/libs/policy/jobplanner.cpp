#include "jobplanner.h"

#include "jobplacement.h"
#include "jobtracking.h"

#include <utility>

namespace Policy
{

namespace
{

void updateWaitTimes(JobContext &context)
{
    std::erase_if(context.memory.stopSince, [&context](const auto &it) {
        const auto job = context.table.open.find(it.first);
        return job == context.table.open.end() || job->second.phase != JobPhase::Stopping;
    });
    std::erase_if(context.memory.waitingSince, [&context](const auto &it) {
        const auto job = context.table.open.find(it.first);
        return job == context.table.open.end() || job->second.phase != JobPhase::Waiting;
    });
    for (const auto &[id, job] : context.table.open) {
        if (job.phase == JobPhase::Waiting) {
            context.memory.waitingSince.try_emplace(id, context.observations.at);
        }
    }
}

} // namespace

JobPlanResult planJobs(const JobTable &table, const JobObservations &observations, const JobMemory &memory)
{
    if (!observations.isPlatformReachable) {
        return {{}, {{"jobs", "the platform is not reachable"}}, memory};
    }
    JobContext context(table, observations, memory);
    trackJobs(context);
    placeJobs(context);
    updateWaitTimes(context);
    return {std::move(context.events), std::move(context.deferrals), std::move(context.memory)};
}

} // namespace Policy
