#include "jobrecord.h"
#include "shard.h"

#include <base/logline.h>

#include <algorithm>
#include <utility>

namespace Jobs
{

namespace
{

// Keeps an append well below the size limit of the store for one call.
constexpr std::size_t MaxBatchBytes = 1U << 20U;

// By how much later than its end a lease may be recorded to end.
constexpr Milliseconds RecordedLeaseSlack{1000};

// Limits the queries to other shards in one sweep.
constexpr std::size_t MaxRedirectQueries = 20;

} // namespace

// A long lease of a worker with runs is stored soon after it has been noticed, so that an owner that takes
// over without a release counts on it. One without runs is stored no later than its next run, and that it has
// ended with the next append.
std::optional<Record> Shard::changedLeases(Base::Instant now, bool hasOtherRecords)
{
    const LeaseTimes leases = longLeases(now);
    const std::map<std::string, Base::Instant> recorded =
        m_recordedLeases.value_or(std::map<std::string, Base::Instant>());
    std::map<std::string, Base::Instant> ends;
    bool isUrgent = false;
    bool isUpToDate = m_recordedLeases && recorded.size() == leases.size();
    for (const auto &[id, time] : leases) {
        const Worker &worker = m_workers.at(id);
        const auto it = recorded.find(id);
        const bool isCovered = it != recorded.end() && it->second >= worker.leaseExpiresBy;
        isUrgent = isUrgent || (!isCovered && !worker.runs.empty());
        isUpToDate = isUpToDate && isCovered && it->second <= worker.leaseExpiresBy + RecordedLeaseSlack;
        ends.emplace(id, worker.leaseExpiresBy);
    }
    const bool isNeeded = hasOtherRecords ? !isUpToDate : isUrgent;
    if (!isNeeded) {
        return std::nullopt;
    }
    m_recordedLeases = std::move(ends);
    return Record{std::string(LeasesKey), leases.empty() ? std::string() : encodeLeases(leases)};
}

Incarnations Shard::knownIncarnations() const
{
    Incarnations known;
    for (const auto &[id, worker] : m_workers) {
        const auto loaded = m_loadedIncarnations.find(id);
        if (worker.hasAnswered && worker.isFenced && worker.startTime != 0) {
            known[id] = worker.startTime;
        } else if (worker.startTime == 0 && loaded != m_loadedIncarnations.end()) {
            known.insert(*loaded);
        }
    }
    return known;
}

void Shard::addUnrecordedConfirmations(std::vector<Record> &records, Base::Instant now) const
{
    std::map<std::string_view, const Job *> jobs;
    for (const Job *it : m_active) {
        if (it->hasUnrecordedConfirmations) {
            jobs.emplace(it->spec.id, it);
        }
    }
    for (const auto &[id, worker] : m_workers) {
        if (!worker.isSilent()) {
            continue;
        }
        for (const TaskId &it : worker.runs) {
            const Job &job = m_jobs.at(it.job);
            if (!job.find(it)->isConfirmed) {
                jobs.emplace(it.job, &job);
            }
        }
    }
    std::size_t bytes = 0;
    for (const auto &it : jobs) {
        const Job &job = *it.second;
        if (!job.isStored || bytes > MaxBatchBytes) {
            continue;
        }
        const auto timeLeft = [&](std::uint32_t stage, const Task &task) -> std::optional<Milliseconds> {
            const Worker &worker = m_workers.at(task.worker);
            if (!worker.isSilent()) {
                return std::nullopt;
            }
            return std::chrono::ceil<Milliseconds>(endOf(worker, job.spec.stages[stage].isLongRunning, task)
                                                   - now);
        };
        records.push_back({progressKey(job.spec.id), encodeProgress(job, timeLeft)});
        bytes += records.back().key.size() + records.back().value.size();
    }
}

void Shard::sendBatch(Base::Instant now)
{
    Batch batch;
    AppendBatch append;
    std::size_t bytes = 0;
    const auto add = [&](std::string key, std::string value) {
        bytes += key.size() + value.size();
        append.records.push_back({std::move(key), std::move(value)});
    };
    const std::string earlier = earlierOwners(now);
    if (!m_isOwnerRecordSent || (m_areEarlierOwnersRecorded && earlier.empty())) {
        m_isOwnerRecordSent = true;
        m_areEarlierOwnersRecorded = !earlier.empty();
        add(std::string(OwnerKey), m_member + earlier);
    }
    std::size_t carried = 0;
    for (; carried < m_changed.size() && bytes <= MaxBatchBytes; ++carried) {
        Job &job = *m_changed[carried];
        const std::string &id = job.spec.id;
        if (!job.isStored && job.firstBatch == 0) {
            add(specKey(id), encodeSpec(job.spec, job.acceptedAt));
            batch.newJobs.push_back(id);
        }
        add(progressKey(id), encodeProgress(job));
        batch.jobs.push_back(id);
        batch.states[id] = job.state;
        job.isDirty = false;
        job.hasUnrecordedConfirmations = false;
    }
    m_changed.erase(m_changed.begin(), m_changed.begin() + static_cast<std::ptrdiff_t>(carried));
    const bool isComplete = m_changed.empty();
    for (const std::string &it : std::exchange(m_newRedirects, {})) {
        const RedirectedJob &where = m_redirectedJobs[it];
        add(redirectKey(it), encodeRedirect({where.shard, where.since}));
        batch.redirectedJobs.push_back(it);
    }
    for (std::string &it : std::exchange(m_deletedKeys, {})) {
        add(std::move(it), {});
    }
    if (std::exchange(m_mustConfirmOwnership, false) && append.records.empty()) {
        add(std::string(UnusedKey), {});
    }
    if (auto leases = changedLeases(now, !append.records.empty())) {
        batch.hasLeases = true;
        add(std::move(leases->key), std::move(leases->value));
    }
    if (!append.records.empty()) {
        if (Incarnations known = knownIncarnations(); known != m_recordedIncarnations) {
            batch.hasIncarnations = true;
            add(std::string(IncarnationsKey), encodeIncarnations(known));
            m_recordedIncarnations = std::move(known);
        }
        if (auto runTimes = changedRunTimes(now)) {
            batch.hasRunTimes = true;
            add(std::move(runTimes->key), std::move(runTimes->value));
        }
    }
    m_hasChanged = m_hasChanged || !isComplete;
    const auto isCarried = [&](const TaskId &it) {
        return batch.states.count(it.job) > 0;
    };
    std::vector<TaskId> later;
    for (TaskId &it : m_plannedStarts) {
        if (m_jobs.count(it.job) == 0) {
            continue;
        }
        (isCarried(it) ? batch.starts : later).push_back(std::move(it));
    }
    m_plannedStarts = std::move(later);
    for (auto &[id, worker] : m_workers) {
        if (worker.processedCursor <= worker.ackCursor || !isComplete) {
            continue;
        }
        if (append.records.empty()) {
            worker.ackCursor = worker.processedCursor;
            worker.nextRenewal = std::min(worker.nextRenewal, now);
        } else {
            batch.cursors.emplace_back(id, worker.processedCursor);
        }
    }
    if (append.records.empty()) {
        return;
    }
    batch.number = ++m_lastBatch;
    batch.sentAt = now;
    for (const std::string &it : batch.newJobs) {
        m_jobs[it].firstBatch = batch.number;
    }
    for (const std::string &it : batch.redirectedJobs) {
        m_redirectedJobs[it].firstBatch = batch.number;
    }
    append.number = batch.number;
    m_lastBatchAt = now;
    m_batch = std::move(batch);
    m_commands.emplace_back(std::move(append));
}

// Only jobs that are not in any append yet can be refused: others may be stored.
void Shard::refuseUnsentJobs(Base::Instant now)
{
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        Job &job = it->second;
        if (job.isStored || job.firstBatch != 0) {
            ++it;
            continue;
        }
        Base::LogLine(Base::LogLevel::Info, "job-refused")
            .with("request", it->first)
            .with("reason", "store does not answer")
            .with("epoch", m_epoch);
        for (const ReplyId waiting : job.acceptanceReplies) {
            reply(waiting, Answer::Refused, StoreRetryAfter);
        }
        for (const ReplyId waiting : job.cancelReplies) {
            reply(waiting, Answer::NoSuchJob);
        }
        stopRuns(job, now);
        std::erase(m_active, &job);
        std::erase(m_changed, &job);
        m_heldBytes -= job.memory();
        it = m_jobs.erase(it);
    }
    for (auto it = m_redirectedJobs.begin(); it != m_redirectedJobs.end();) {
        if (it->second.isStored || it->second.firstBatch != 0) {
            ++it;
            continue;
        }
        for (const ReplyId waiting : it->second.waiting) {
            refuse(it->first, "store does not answer", waiting);
        }
        std::erase(m_newRedirects, it->first);
        it = m_redirectedJobs.erase(it);
    }
}

void Shard::removeEndedJobs(WallTime wall)
{
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        Job &job = it->second;
        const bool isStoredAsEnded = job.storedState != JobState::Active && !job.isDirty;
        if (!isStoredAsEnded || job.hasRuns()) {
            ++it;
            continue;
        }
        if (!job.isReleased) {
            m_heldBytes -= job.memory();
            job.releaseProgress();
            m_heldBytes += job.memory();
        }
        if (job.endedAt + m_settings.retention > wall) {
            ++it;
            continue;
        }
        m_heldBytes -= job.memory();
        m_deletedKeys.push_back(progressKey(it->first));
        m_deletedKeys.push_back(specKey(it->first));
        it = m_jobs.erase(it);
    }
}

// A redirected job may last for days, so its record is not removed by age but when the other shard reports
// that it has removed the job.
void Shard::checkRedirectedJobs(WallTime wall)
{
    std::size_t asked = 0;
    for (auto &[id, where] : m_redirectedJobs) {
        const WallTime last = std::max({where.since, where.checkedAt, where.submittedAt});
        if (!where.isStored || last + m_settings.retention > wall) {
            continue;
        }
        where.checkedAt = wall;
        m_commands.emplace_back(QueryRedirectedJob{id, where.shard});
        if (++asked == MaxRedirectQueries) {
            return;
        }
    }
}

void Shard::removeRedirect(const std::string &job)
{
    const auto it = m_redirectedJobs.find(job);
    if (it != m_redirectedJobs.end() && it->second.isStored
        && it->second.submittedAt < it->second.checkedAt) {
        m_deletedKeys.push_back(redirectKey(job));
        m_redirectedJobs.erase(it);
        m_hasChanged = true;
    }
}

} // namespace Jobs
