#include "jobsimulation.h"

#include <policy/workerspaces.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace
{

constexpr int SimulatedSeconds = 7200;
constexpr int ReportLag = 1;
constexpr int CheckpointSeconds = 3;
constexpr std::size_t Workers = 12;
constexpr std::size_t Jobs = 300;
const Base::InstanceName FailingWorker{"w00"};

struct Task {
    Policy::JobId job;
    std::uint32_t attempt = 0;
    Base::InstanceName worker;
    double left = 0;
    double throttle = 1;
    int startedAt = 0;
    int stopAt = -1;
    Policy::TaskPhase phase = Policy::TaskPhase::Running;
    int endedAt = -1;
};

class JobSimulation
{
public:
    explicit JobSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < Jobs; ++n) {
            addJob(n);
        }
        for (std::size_t n = 0; n < Workers; ++n) {
            Policy::WorkerReport worker;
            worker.worker = {fmt::format("w{:02}", n)};
            worker.total = {16, 32, 0};
            worker.forJobs = worker.total;
            m_observations.workers.push_back(worker);
        }
        for (std::size_t n = 0; n < 6; ++n) {
            m_observations.quotas.push_back({{fmt::format("t{}", n)}, 32});
        }
    }

    JobOutcome run(const JobPlanner &planner)
    {
        for (m_now = 1; m_now < SimulatedSeconds; ++m_now) {
            failWorker();
            work();
            observe();
            Policy::JobPlanResult pass = planner(m_table, m_observations, m_memory);
            m_memory = std::move(pass.memory);
            for (const Policy::Deferral &it : pass.deferrals) {
                m_outcome.blockedUrgent += m_blocked.insert({it.subject}).second ? 1 : 0;
            }
            for (const Policy::JobEvent &it : pass.events) {
                execute(it);
                m_table.apply(it);
            }
        }
        m_outcome.open = m_table.open.size();
        return m_outcome;
    }

private:
    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    void addJob(std::size_t n)
    {
        SimulatedJob simulated;
        simulated.spec.id = {fmt::format("j{:04}", n)};
        simulated.spec.team = {fmt::format("t{}", n % 6)};
        simulated.spec.kind = {fmt::format("k{}", n % 3)};
        const bool isUrgent = between(0, 9) == 0;
        simulated.spec.priority = isUrgent ? Document::Priority::Urgent : Document::Priority::Batch;
        const double cores = between(1, 6);
        simulated.spec.declared = {cores, cores * 2, 0};
        // The error of the declared size depends on the kind.
        const double factor = n % 3 == 0 ? 0.25 : n % 3 == 1 ? 1 : 1.5;
        simulated.size = {cores * factor, cores * 2 * factor, 0};
        simulated.seconds = isUrgent ? between(5, 20) : between(30, 400);
        simulated.failsAlways = n % 50 == 7;
        simulated.spec.isIdempotent = n % 4 != 0;
        simulated.spec.canCheckpoint = n % 4 == 1 || n % 4 == 2;
        if (n % 60 == 11) {
            simulated.spec.declared.cores = 200;
        }
        m_jobs[simulated.spec.id] = simulated;
        m_submitAt[simulated.spec.id] = isUrgent ? between(60, 3000) : between(1, 600);
        if (n % 9 == 5) {
            m_cancelAt[simulated.spec.id] = 700;
        }
    }

    void failWorker()
    {
        if (m_now % 600 != 300 || m_now > 3000) {
            return;
        }
        const Base::InstanceName lost{fmt::format("w{:02}", between(1, static_cast<int>(Workers) - 1))};
        m_downUntil[lost] = m_now + 120;
        std::erase_if(m_tasks, [&lost](const auto &it) { return it.second.worker == lost; });
    }

    bool isUp(const Base::InstanceName &worker, int now) const
    {
        const auto it = m_downUntil.find(worker);
        return it == m_downUntil.end() || now >= it->second;
    }

    void work()
    {
        for (auto &[id, task] : m_tasks) {
            const SimulatedJob &simulated = m_jobs.at(id);
            if (task.phase != Policy::TaskPhase::Running) {
                continue;
            }
            task.left -= task.throttle;
            if (task.worker == FailingWorker || (simulated.failsAlways && m_now - task.startedAt >= 5)) {
                finish(task, Policy::TaskPhase::Failed);
            } else if (task.left <= 0) {
                finish(task, Policy::TaskPhase::Completed);
            } else if (task.stopAt >= 0 && m_now >= task.stopAt) {
                finish(task, Policy::TaskPhase::Stopped);
            }
        }
    }

    void finish(Task &task, Policy::TaskPhase phase)
    {
        task.phase = phase;
        task.endedAt = m_now;
    }

    void observe()
    {
        m_observations.at = Base::instantAt(std::chrono::seconds(m_now));
        for (Policy::WorkerReport &it : m_observations.workers) {
            it.isLive = isUp(it.worker, m_now);
            const double share = m_now % 1200 < 60 ? 0.6 : 1; // interactive work takes the rest
            it.forJobs = {it.total.cores * share, it.total.memory, 0};
        }
        m_observations.tasks.clear();
        for (const auto &[id, task] : m_tasks) {
            const bool isSeen = task.endedAt >= 0 && m_now - task.endedAt >= ReportLag;
            Policy::TaskReport report{id, task.attempt, Policy::TaskPhase::Running, {}, {}, "exit status 1"};
            report.phase = isSeen ? task.phase : Policy::TaskPhase::Running;
            report.used = m_now - task.startedAt > 15 ? m_jobs.at(id).size : Policy::JobSize{};
            if (m_jobs.at(id).spec.canCheckpoint && report.phase == Policy::TaskPhase::Stopped) {
                report.checkpoint = static_cast<std::uint64_t>(task.endedAt);
            }
            m_observations.tasks.push_back(report);
        }
        m_observations.submissions.clear();
        for (const auto &[id, at] : m_submitAt) {
            if (at == m_now || at + 1 == m_now) { // delivered twice
                m_observations.submissions.push_back(m_jobs.at(id).spec);
                m_outcome.submitted += at == m_now ? 1 : 0;
            }
        }
        m_observations.cancellations.clear();
        for (const auto &[id, at] : m_cancelAt) {
            if (at == m_now || at + 1 == m_now) {
                m_observations.cancellations.push_back(id);
            }
        }
    }

    void execute(const Policy::JobEvent &event)
    {
        if (const auto *it = std::get_if<Policy::JobStarted>(&event)) {
            start(*it);
        } else if (const auto *throttled = std::get_if<Policy::JobThrottled>(&event)) {
            if (Task *task = find(throttled->job)) {
                task->throttle = throttled->perMille / 1000.0;
            }
        } else if (const auto *stopped = std::get_if<Policy::JobStopRequested>(&event)) {
            if (Task *task = find(stopped->job)) {
                task->stopAt =
                    m_now + (stopped->mode == Policy::StopMode::Checkpoint ? CheckpointSeconds : 1);
            }
        } else if (const auto *released = std::get_if<Policy::JobReleased>(&event)) {
            release(*released);
        } else if (const auto *ended = std::get_if<Policy::JobEnded>(&event)) {
            end(*ended);
        } else if (std::holds_alternative<Policy::JobRefused>(event)) {
            ++m_outcome.refused;
        }
    }

    Task *find(const Policy::JobId &job)
    {
        const auto it = m_tasks.find(job);
        return it == m_tasks.end() ? nullptr : &it->second;
    }

    void start(const Policy::JobStarted &event)
    {
        const SimulatedJob &simulated = m_jobs.at(event.job);
        ++m_outcome.attempts;
        m_outcome.unsafeRestarts +=
            m_hasRun[event.job] && !simulated.spec.isIdempotent && !m_saved.contains(event.job) ? 1 : 0;
        m_hasRun[event.job] = true;
        const auto saved = m_saved.find(event.job);
        Task task{event.job, event.attempt, event.worker};
        task.left = saved == m_saved.end() ? simulated.seconds : saved->second;
        task.startedAt = m_now;
        if (isUp(event.worker, m_now)) {
            m_tasks[event.job] = task;
        }
        const bool isUrgent = simulated.spec.priority == Document::Priority::Urgent;
        if (isUrgent && event.attempt == 1 && !m_blocked.contains(event.job)) {
            m_outcome.maxUrgentStartMilliseconds =
                std::max(m_outcome.maxUrgentStartMilliseconds, 1000 * (m_now - m_submitAt.at(event.job) + 1));
        }
    }

    void release(const Policy::JobReleased &event)
    {
        const Task *task = find(event.job);
        if (task && task->phase == Policy::TaskPhase::Stopped && m_jobs.at(event.job).spec.canCheckpoint) {
            m_saved[event.job] = task->left;
        }
        m_tasks.erase(event.job);
    }

    void end(const Policy::JobEnded &event)
    {
        m_tasks.erase(event.job);
        m_outcome.lastEnd = m_now;
        m_outcome.completed += event.result == Policy::JobResult::Completed ? 1 : 0;
        m_outcome.failed += event.result == Policy::JobResult::Failed ? 1 : 0;
        m_outcome.cancelled += event.result == Policy::JobResult::Cancelled ? 1 : 0;
        m_outcome.lost += event.result == Policy::JobResult::Lost ? 1 : 0;
        m_outcome.falseNotRun += event.verdict == Base::Verdict::NotRun && m_hasRun[event.job] ? 1 : 0;
    }

    std::mt19937_64 m_random;
    std::map<Policy::JobId, SimulatedJob> m_jobs;
    std::map<Policy::JobId, int> m_submitAt;
    std::map<Policy::JobId, int> m_cancelAt;
    std::map<Policy::JobId, Task> m_tasks;
    std::map<Policy::JobId, bool> m_hasRun;
    std::map<Policy::JobId, double> m_saved;
    std::set<Policy::JobId> m_blocked;
    std::map<Base::InstanceName, int> m_downUntil;
    Policy::JobTable m_table;
    Policy::JobMemory m_memory;
    Policy::JobObservations m_observations;
    JobOutcome m_outcome;
    int m_now = 0;
};

} // namespace

JobOutcome simulateJobs(std::uint64_t seed, const JobPlanner &planner)
{
    return JobSimulation(seed).run(planner);
}

Policy::JobPlanResult planFirstComeFirstServed(const Policy::JobTable &table,
                                               const Policy::JobObservations &observations,
                                               const Policy::JobMemory &memory)
{
    std::vector<Policy::JobEvent> events;
    for (const Policy::JobSpec &it : observations.submissions) {
        events.emplace_back(Policy::JobAccepted{it});
    }
    for (const Policy::TaskReport &it : observations.tasks) {
        if (it.phase == Policy::TaskPhase::Completed) {
            events.emplace_back(
                Policy::JobEnded{it.job, Policy::JobResult::Completed, Base::Verdict::Ran, {}});
        } else if (it.phase != Policy::TaskPhase::Running) {
            events.emplace_back(Policy::JobReleased{it.job, it.attempt, true, {}});
        }
    }
    Policy::WorkerSpaces spaces(table, observations.workers, memory.peaks);
    std::vector<const Policy::JobState *> waiting;
    for (const auto &[id, job] : table.open) {
        if (job.phase != Policy::JobPhase::Waiting && !spaces.find(job.worker)) {
            events.emplace_back(Policy::JobReleased{id, job.attempt, false, {}});
        } else if (job.phase == Policy::JobPhase::Waiting) {
            waiting.push_back(&job);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto *a, const auto *b) {
        return a->sequence < b->sequence;
    });
    for (const Policy::JobState *job : waiting) {
        Policy::WorkerSpace *best = nullptr;
        for (auto &[name, it] : spaces.workers()) {
            if (Policy::fitsInto(job->spec.declared, it.free())
                && (!best || it.free().cores > best->free().cores)) {
                best = &it;
            }
        }
        if (best) {
            const Base::InstanceName worker = best->report->worker;
            spaces.allocate(worker, job->spec.id, job->spec.declared);
            events.emplace_back(
                Policy::JobStarted{job->spec.id, job->attempt + 1, worker, job->spec.declared, {}});
        }
    }
    return {std::move(events), {}, memory};
}
