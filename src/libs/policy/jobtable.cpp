#include "jobtable.h"

namespace Policy
{

namespace
{

class JobEventApplier
{
public:
    explicit JobEventApplier(JobTable &table)
        : m_table(table)
    {
    }

    void operator()(const JobAccepted &event)
    {
        if (m_table.open.contains(event.spec.id) || m_table.ended.contains(event.spec.id)) {
            return;
        }
        JobState &job = m_table.open[event.spec.id];
        job.spec = event.spec;
        job.sequence = ++m_table.accepted;
    }

    void operator()(const JobRefused &event)
    {
        if (!m_table.open.contains(event.job)) {
            recordEnd(event.job, JobResult::Refused);
        }
    }

    void operator()(const JobStarted &event)
    {
        const auto it = m_table.open.find(event.job);
        if (it == m_table.open.end() || it->second.phase != JobPhase::Waiting
            || event.attempt != it->second.attempt + 1) {
            return;
        }
        JobState &job = it->second;
        job.phase = JobPhase::Running;
        job.attempt = event.attempt;
        job.worker = event.worker;
        job.reserved = event.reserved;
        job.throttle = Unthrottled;
    }

    void operator()(const JobThrottled &event)
    {
        if (JobState *job = current(event.job, event.attempt)) {
            job->throttle = event.perMille;
        }
    }

    void operator()(const JobCheckpointed &event)
    {
        if (JobState *job = current(event.job, event.attempt)) {
            job->checkpoint = event.checkpoint;
        }
    }

    void operator()(const JobStopRequested &event)
    {
        if (JobState *job = current(event.job, event.attempt)) {
            job->phase = JobPhase::Stopping;
            job->stopMode = event.mode;
        }
    }

    void operator()(const JobReleased &event)
    {
        JobState *job = current(event.job, event.attempt);
        if (!job) {
            return;
        }
        if (event.hasFailed) {
            job->failedOn.insert(job->worker);
            m_table.failures[job->worker].insert(event.job);
        }
        job->phase = JobPhase::Waiting;
        job->reserved = {};
    }

    void operator()(const JobEnded &event)
    {
        const auto it = m_table.open.find(event.job);
        if (it == m_table.open.end()) {
            return;
        }
        if (event.result == JobResult::Completed) {
            m_table.failures.erase(it->second.worker);
        }
        if (event.result == JobResult::Failed) {
            discardFailures(event.job);
        }
        m_table.open.erase(it);
        recordEnd(event.job, event.result);
    }

private:
    static constexpr std::uint32_t Unthrottled = 1000;

    JobState *current(const JobId &id, std::uint32_t attempt)
    {
        const auto it = m_table.open.find(id);
        const bool isCurrent = it != m_table.open.end() && it->second.attempt == attempt
            && it->second.phase != JobPhase::Waiting;
        return isCurrent ? &it->second : nullptr;
    }

    void recordEnd(const JobId &job, JobResult result)
    {
        if (!m_table.ended.emplace(job, result).second) {
            return;
        }
        m_table.endedInOrder.push_back(job);
        if (m_table.endedInOrder.size() > JobTable::MaxEnded) {
            m_table.ended.erase(m_table.endedInOrder.front());
            m_table.endedInOrder.pop_front();
        }
    }

    /// The failures of a faulty job are no evidence against the workers that it failed on.
    void discardFailures(const JobId &job)
    {
        for (auto &[worker, jobs] : m_table.failures) {
            jobs.erase(job);
        }
        std::erase_if(m_table.failures, [](const auto &it) { return it.second.empty(); });
    }

    JobTable &m_table;
};

} // namespace

void JobTable::apply(const JobEvent &event)
{
    std::visit(JobEventApplier(*this), event);
}

} // namespace Policy
