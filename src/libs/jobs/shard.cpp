#include "shard.h"

#include "jobrecord.h"
#include "placement.h"
#include "queueorder.h"

#include <base/logline.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Jobs
{

namespace
{

constexpr std::string_view SpecPrefix = "spec/";
constexpr std::string_view ProgressPrefix = "progress/";
constexpr std::string_view RedirectPrefix = "elsewhere/";

} // namespace

Shard::Shard(const ShardSettings &settings, Epoch epoch, std::string member, OrderToken firstToken)
    : m_settings(settings)
    , m_epoch(epoch)
    , m_member(std::move(member))
    , m_highestToken(std::clamp(firstToken, epoch * TokensPerEpoch, (epoch + 1) * TokensPerEpoch - 1))
{
    m_settings.lease = std::min(m_settings.lease, m_settings.leaseLimit);
}

Epoch Shard::epoch() const
{
    return m_epoch;
}

OrderToken Shard::highestToken() const
{
    return m_highestToken;
}

const std::map<std::string, Worker> &Shard::workers() const
{
    return m_workers;
}

const std::map<std::string, Job, std::less<>> &Shard::jobs() const
{
    return m_jobs;
}

// Records arrive in any order. Progress can only be decoded with its specification, so it is kept until
// begin().
void Shard::load(std::string_view key, std::string_view value, bool isLast)
{
    m_hadEarlierOwner = true;
    if (key.substr(0, SpecPrefix.size()) == SpecPrefix) {
        const std::string id(key.substr(SpecPrefix.size()));
        auto job = decodeSpec(value);
        if (!job) {
            Base::LogLine(Base::LogLevel::Error, "record-unreadable").with("key", key);
            return;
        }
        job->isStored = true;
        m_jobs[id] = std::move(*job);
    } else if (key.substr(0, RedirectPrefix.size()) == RedirectPrefix) {
        const auto where = decodeRedirect(value);
        if (!where) {
            Base::LogLine(Base::LogLevel::Error, "record-unreadable").with("key", key);
            return;
        }
        RedirectedJob &known = m_redirectedJobs[std::string(key.substr(RedirectPrefix.size()))];
        known.shard = where->shard;
        known.since = where->since;
        known.isStored = true;
    } else if (key == OwnerKey) {
        m_isReleased = value.empty() || value.front() == '\n';
        for (std::string_view rest = value; !rest.empty();) {
            const std::string_view name = rest.substr(0, rest.find('\n'));
            rest.remove_prefix(std::min(rest.size(), name.size() + 1));
            if (!name.empty()) {
                m_earlierOwners.emplace_back(name);
            }
        }
    } else if (key == LeasesKey) {
        auto leases = decodeLeases(value);
        if (!leases) {
            Base::LogLine(Base::LogLevel::Error, "record-unreadable").with("key", key);
            return;
        }
        m_loadedLeases = std::move(*leases);
        m_areLoadedLeasesLast = isLast;
    } else if (key == IncarnationsKey) {
        auto incarnations = decodeIncarnations(value);
        if (!incarnations) {
            Base::LogLine(Base::LogLevel::Error, "record-unreadable").with("key", key);
            return;
        }
        m_loadedIncarnations = std::move(*incarnations);
    } else if (key == RunTimes::Key) {
        m_loadedRunTimes = std::string(value);
    } else if (key.substr(0, ProgressPrefix.size()) == ProgressPrefix) {
        m_loadedProgress[std::string(key.substr(ProgressPrefix.size()))] = std::string(value);
    }
}

void Shard::applyLoadedProgress()
{
    for (const auto &[id, text] : std::exchange(m_loadedProgress, {})) {
        const auto it = m_jobs.find(id);
        if (it == m_jobs.end() || !decodeProgress(text, it->second)) {
            Base::LogLine(Base::LogLevel::Error, "record-unreadable").with("key", progressKey(id));
        }
    }
}

Job &Shard::addJob(Job job)
{
    const std::string id = job.spec.id;
    Job &added = m_jobs[id] = std::move(job);
    m_heldBytes += added.memory();
    m_active.push_back(&added);
    return added;
}

void Shard::markChanged(Job &job)
{
    if (!std::exchange(job.isDirty, true)) {
        m_changed.push_back(&job);
    }
    m_hasChanged = true;
}

std::string Shard::earlierOwners(Base::Instant now) const
{
    std::string names;
    if (now < m_earlierOwnersRenewUntil) {
        for (const std::string &it : m_earlierOwners) {
            names += "\n" + it;
        }
    }
    return names;
}

LeaseTimes Shard::longLeases(Base::Instant now) const
{
    LeaseTimes leases;
    for (const auto &[id, worker] : m_workers) {
        if (worker.mayHoldLongLease && worker.leaseExpiresBy > now + longestTime(m_settings.lease)) {
            leases[id] = std::chrono::ceil<Milliseconds>(worker.leaseExpiresBy - now);
        }
    }
    return leases;
}

// An owner that holds the shard only briefly must not hide the owner before it, which may be partitioned from
// the store and still renew leases. The leases come last: a later owner takes them for complete only if
// nothing has been appended after them.
std::vector<Record> Shard::releaseRecords(Base::Instant now) const
{
    LeaseTimes leases = longLeases(now);
    for (const auto &[id, worker] : m_workers) {
        if (worker.isSilent() && !worker.runs.empty()) {
            leases[id] =
                std::max(Milliseconds::zero(), std::chrono::ceil<Milliseconds>(worker.leaseExpiresBy - now));
        }
    }
    std::vector<Record> records{{std::string(OwnerKey), earlierOwners(now)}};
    addUnrecordedConfirmations(records, now);
    if (Incarnations known = knownIncarnations(); known != m_recordedIncarnations) {
        records.push_back({std::string(IncarnationsKey), encodeIncarnations(known)});
    }
    if (!leases.empty()) {
        records.push_back({std::string(LeasesKey), encodeLeases(leases)});
    } else if (!m_recordedLeases || !m_recordedLeases->empty()) {
        records.push_back({std::string(LeasesKey), {}});
    }
    return records;
}

// An earlier owner that has neither released the shard nor ended may still renew leases for
// ShardSettings::staleOwnerTimeout, on workers that this owner cannot reach.
void Shard::begin(Base::Instant now,
                  WallTime wall,
                  const std::function<bool(const std::string &member)> &hasEnded)
{
    applyLoadedProgress();
    loadRunTimes(now);
    m_begunAt = now;
    m_lastBatchAt = now - m_settings.batchPeriod;
    for (auto &[id, job] : m_jobs) {
        if (job.occurrences.empty() && !job.spec.isTimed() && job.state == JobState::Active) {
            job.addOccurrence(0);
        }
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t stage = 0; stage < occurrence.stages.size(); ++stage) {
                auto &tasks = occurrence.stages[stage].tasks;
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    Task &task = tasks[index];
                    if (task.run == RunState::None) {
                        continue;
                    }
                    if (m_isReleased && m_areLoadedLeasesLast && task.unconfirmedTimeLeft) {
                        task.endsBy = now + *task.unconfirmedTimeLeft;
                    }
                    Worker &worker = workerFor(task.worker);
                    worker.runs.insert({id, number, stage, index});
                    markSuspect(worker, {id, number, stage, index}, task);
                    worker.used += reservedResources(job.spec.stages[stage]);
                    m_quotaUsage.add(job.spec.workspace, job.spec.stages[stage].size);
                }
            }
        }
        m_heldBytes += job.memory();
        if (job.state == JobState::Active) {
            m_active.push_back(&job);
            addDueOccurrences(job, wall);
            for (auto &[number, occurrence] : job.occurrences) {
                updateExpectations(job, occurrence);
            }
        } else {
            stopRuns(job, now);
        }
    }
    std::erase_if(m_earlierOwners, hasEnded);
    m_earlierOwnersRenewUntil = m_earlierOwners.empty() ? now : now + m_settings.staleOwnerTimeout;
    const Base::Instant lastRenewal = m_earlierOwnersRenewUntil;
    for (auto &[id, worker] : m_workers) {
        for (const TaskId &it : worker.runs) {
            Task &task = *m_jobs.at(it.job).find(it);
            if (!task.isConfirmed) {
                task.openStart = {id, lastRenewal + m_settings.maxOrderDelay};
            }
        }
    }
    for (auto &[id, worker] : m_workers) {
        worker.setLease(lastRenewal + longestTime(m_settings.lease), LeaseSource::Takeover, now);
        worker.lastLeaseOrder = lastRenewal;
    }
    applyLoadedLeases(now);
}

// An owner gives no lease after its release, so its figures hold as long as no other owner has appended
// anything. Of an older record only a longer lease counts.
void Shard::applyLoadedLeases(Base::Instant now)
{
    m_recordedLeases.emplace();
    m_recordedIncarnations = m_loadedIncarnations;
    for (const auto &[id, time] : std::exchange(m_loadedLeases, {})) {
        m_recordedLeases->emplace(id, now + time);
        Worker &worker = workerFor(id);
        worker.isLeaseRecorded = m_areLoadedLeasesLast;
        worker.mayHoldLongLease = time > longestTime(m_settings.lease);
        worker.isFenced = !worker.mayHoldLongLease;
        worker.setLease(m_areLoadedLeasesLast ? now + time
                                              : std::max<Base::Instant>(worker.leaseExpiresBy, now + time),
                        LeaseSource::Record,
                        now);
    }
}

void Shard::setWorkers(std::span<const WorkerInfo> workers, Base::Instant now)
{
    for (auto &[id, worker] : m_workers) {
        worker.isListed = false;
    }
    for (const WorkerInfo &it : workers) {
        Worker &worker = workerFor(it.id);
        const bool wasKnown = !worker.info.address.empty();
        // Other writers may leave a wrong start time, so each one is acted on once, and the worker decides.
        const bool isNewStart = it.startTime != worker.info.startTime;
        if (isNewStart && it.startTime > worker.startTime && worker.startTime != 0) {
            handleWorkerRestart(worker, it.startTime, RestartNotice::Entry, now);
        }
        if (!wasKnown || worker.info.address != it.address) {
            worker.nextRenewal = now;
        }
        if (it.isDraining && !worker.drainDeadline) {
            worker.drainDeadline = now + it.drainTimeLeft;
        } else if (!it.isDraining) {
            worker.drainDeadline.reset();
        }
        worker.fullCapacity = isNewStart ? it.capacity : larger(worker.fullCapacity, it.capacity);
        worker.info = it;
        worker.isListed = true;
        m_lostRuns.settleMachine(it.machine, it.startTime);
    }
    m_hasChanged = true;
}

bool Shard::setQuotaLimits(QuotaUsage::Limits limits)
{
    const bool hasChanged = m_quotaUsage.setLimits(std::move(limits));
    m_hasChanged = m_hasChanged || hasChanged;
    return hasChanged;
}

const QuotaUsage &Shard::quotaUsage() const
{
    return m_quotaUsage;
}

void Shard::setArrivalRates(ArrivalAllowance::Rates rates)
{
    m_fairShares.setWeights(rates);
    m_arrivalAllowance.setRates(std::move(rates));
}

void Shard::confirmOwnership()
{
    m_mustConfirmOwnership = true;
    m_hasChanged = true;
}

const LossCounts &Shard::losses() const
{
    return m_losses;
}

const FairShares &Shard::fairShares() const
{
    return m_fairShares;
}

void Shard::setMemoryLimits(const MemoryLimits &limits)
{
    m_memoryLimits = limits;
}

std::size_t Shard::heldBytes() const
{
    return m_heldBytes;
}

void Shard::setMembershipLapsed(bool isLapsed)
{
    if (m_isMembershipLapsed != isLapsed) {
        m_isMembershipLapsed = isLapsed;
        m_hasChanged = true;
    }
}

void Shard::refusePendingRequests()
{
    for (auto &[id, job] : m_jobs) {
        const bool isUnsent = !job.isStored && job.firstBatch == 0;
        for (const ReplyId it : job.acceptanceReplies) {
            reply(it, isUnsent ? Answer::Refused : Answer::Unknown, StoreRetryAfter);
        }
        for (const ReplyId it : job.cancelReplies) {
            reply(it, Answer::Unknown);
        }
        job.acceptanceReplies.clear();
        job.cancelReplies.clear();
    }
    // Redirecting a job starts nothing, so refusing is correct even if the redirection is stored later.
    for (auto &[id, where] : m_redirectedJobs) {
        for (const ReplyId it : std::exchange(where.waiting, {})) {
            reply(it, Answer::Refused, StoreRetryAfter);
        }
    }
}

std::string_view Shard::refusalReason(Base::Instant now) const
{
    if (m_isMembershipLapsed) {
        return "membership lapsed";
    }
    const bool isStalled = m_batch && now - m_batch->sentAt > m_settings.appendTimeout;
    return isStalled ? "store does not answer" : std::string_view();
}

// A job that takes more by itself is accepted, too, if there is little else.
bool Shard::hasMemoryFor(const Job &job) const
{
    return m_heldBytes + job.memory() <= m_memoryLimits.jobBytes
        || m_heldBytes <= m_memoryLimits.jobBytes / 4;
}

void Shard::refuse(std::string_view job, std::string_view reason, ReplyId replyId)
{
    Base::LogLine(Base::LogLevel::Info, "job-refused")
        .with("request", job)
        .with("reason", reason)
        .with("epoch", m_epoch);
    reply(replyId, Answer::Refused, StoreRetryAfter);
}

// Once the redirection is stored, no later owner of this shard accepts the job itself, whichever workers it
// has by then.
void Shard::redirect(
    const std::string &job, ShardNumber shard, ReplyId replyId, Base::Instant now, WallTime wall)
{
    const auto it = m_redirectedJobs.find(job);
    if (it != m_redirectedJobs.end() && it->second.isStored) {
        it->second.submittedAt = wall;
        replyRedirected(replyId, it->second.shard);
        return;
    }
    if (it != m_redirectedJobs.end()) {
        it->second.waiting.push_back(replyId);
        return;
    }
    if (const std::string_view reason = refusalReason(now); !reason.empty()) {
        refuse(job, reason, replyId);
        return;
    }
    RedirectedJob &added = m_redirectedJobs[job];
    added.shard = shard;
    added.since = wall;
    added.submittedAt = wall;
    added.waiting.push_back(replyId);
    m_newRedirects.push_back(job);
    m_hasChanged = true;
}

std::optional<ShardNumber> Shard::redirectedTo(std::string_view job) const
{
    const auto it = m_redirectedJobs.find(job);
    return it != m_redirectedJobs.end() ? std::optional(it->second.shard) : std::nullopt;
}

bool Shard::contains(std::string_view job) const
{
    return m_jobs.find(job) != m_jobs.end();
}

bool Shard::isUnsettled(std::string_view job) const
{
    const auto redirected = m_redirectedJobs.find(job);
    if (redirected != m_redirectedJobs.end()) {
        return !redirected->second.isStored;
    }
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && !it->second.isStored;
}

void Shard::submit(JobSpec spec, ReplyId replyId, Base::Instant now, WallTime wall)
{
    if (const auto it = m_jobs.find(spec.id); it != m_jobs.end()) {
        if (it->second.isStored) {
            reply(replyId, Answer::Accepted);
        } else {
            it->second.acceptanceReplies.push_back(replyId);
        }
        return;
    }
    if (const std::string_view reason = refusalReason(now); !reason.empty()) {
        refuse(spec.id, reason, replyId);
        return;
    }
    std::vector<const Worker *> listed;
    for (const auto &[id, worker] : m_workers) {
        if (worker.isListed && worker.info.service == spec.queue.service) {
            listed.push_back(&worker);
        }
    }
    // Workers that have shrunk may grow again.
    const bool isHopeless =
        !listed.empty() && std::any_of(spec.stages.begin(), spec.stages.end(), [&](const Stage &stage) {
            return std::none_of(listed.begin(), listed.end(), [&stage](const Worker *it) {
                return canHold(it->info, it->fullCapacity, stage);
            });
        });
    if (isHopeless) {
        Base::LogLine(Base::LogLevel::Info, "job-refused")
            .with("request", spec.id)
            .with("reason", "no worker has the capacity and labels for its tasks")
            .with("workers", listed.size());
        reply(replyId, Answer::Unplaceable);
        return;
    }
    Job accepted;
    accepted.spec = std::move(spec);
    if (!hasMemoryFor(accepted)) {
        refuse(accepted.spec.id, "the jobs of this shard take all memory that they may", replyId);
        return;
    }
    accepted.spec.isExcess = !m_arrivalAllowance.isWithin(accepted.spec.workspace, now);
    accepted.acceptedAt = wall;
    accepted.acceptanceReplies.push_back(replyId);
    Job &job = addJob(std::move(accepted));
    if (!job.spec.isTimed()) {
        updateExpectations(job, job.addOccurrence(0));
    }
    addDueOccurrences(job, wall);
    markChanged(job);
    Arrivals &arrivals = m_arrivals[job.spec.queue.service];
    arrivals.work += job.work();
    arrivals.jobs += job.work() > 0 ? 1 : 0;
    m_nextOccurrenceDue = std::min(m_nextOccurrenceDue, now);
}

void Shard::cancel(std::string_view id, ReplyId replyId, Base::Instant now, WallTime wall)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end()) {
        reply(replyId, Answer::NoSuchJob);
        return;
    }
    Job &job = it->second;
    if (job.state != JobState::Active && job.storedState == job.state) {
        reply(replyId, Answer::Cancelled);
        return;
    }
    if (job.state == JobState::Active) {
        endJob(job, JobState::Cancelled, wall, now);
    }
    job.cancelReplies.push_back(replyId);
}

const Job *Shard::find(std::string_view id) const
{
    const auto it = m_jobs.find(id);
    return it != m_jobs.end() && it->second.isStored ? &it->second : nullptr;
}

std::size_t Shard::pending(std::string_view queue) const
{
    return static_cast<std::size_t>(std::count_if(m_active.begin(), m_active.end(), [&](const Job *it) {
        return it->isStored && !it->hasStarted && it->spec.queue.name == queue;
    }));
}

bool Shard::evacuate(const std::string &id, Base::Instant now)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end()) {
        return true;
    }
    it->second.evacuatedUntil = now + m_settings.evacuationHold;
    m_nextEviction = std::min(m_nextEviction, now);
    m_hasChanged = true;
    return !it->second.hasRuns();
}

void Shard::appended(std::uint64_t number, AppendResult result, Base::Instant now, WallTime)
{
    if (!m_batch || m_batch->number != number) {
        return;
    }
    if (result == AppendResult::Fenced) {
        m_commands.emplace_back(RelinquishShard{"the store has a newer owner"});
        return;
    }
    const Batch batch = std::move(*m_batch);
    m_batch.reset();
    m_hasChanged = true;
    if (result == AppendResult::NotStored) {
        m_isOwnerRecordSent = m_isOwnerRecordSent && m_isOwnerRecordStored;
        if (batch.hasLeases) {
            m_recordedLeases.reset();
        }
        if (batch.hasRunTimes) {
            m_recordedRevision = 0;
        }
        if (batch.hasIncarnations) {
            m_recordedIncarnations.reset();
        }
        for (const std::string &it : batch.jobs) {
            if (const auto found = m_jobs.find(it); found != m_jobs.end()) {
                markChanged(found->second);
            }
        }
        for (const TaskId &it : batch.starts) {
            const auto found = m_jobs.find(it.job);
            Task *task = found != m_jobs.end() ? found->second.find(it) : nullptr;
            if (task && task->run == RunState::Planned) {
                endRun(found->second, it, *task);
            }
        }
        for (const std::string &it : batch.newJobs) {
            if (const auto found = m_jobs.find(it); found != m_jobs.end()) {
                found->second.firstBatch = 0;
            }
        }
        for (const std::string &it : batch.redirectedJobs) {
            m_redirectedJobs[it].firstBatch = 0;
        }
        refuseUnsentJobs(now);
        return;
    }
    m_isOwnerRecordStored = true;
    for (const std::string &it : batch.newJobs) {
        const auto found = m_jobs.find(it);
        if (found == m_jobs.end()) {
            continue;
        }
        Job &job = found->second;
        job.isStored = true;
        Base::LogLine(Base::LogLevel::Info, "job-accepted")
            .with("request", it)
            .with("queue", job.spec.queue.name)
            .with("workspace", job.spec.workspace)
            .with("excess", job.spec.isExcess)
            .with("batch", batch.number)
            .with("epoch", m_epoch);
        for (const ReplyId waiting : job.acceptanceReplies) {
            reply(waiting, Answer::Accepted);
        }
        job.acceptanceReplies.clear();
    }
    for (const std::string &it : batch.redirectedJobs) {
        RedirectedJob &where = m_redirectedJobs[it];
        where.isStored = true;
        Base::LogLine(Base::LogLevel::Info, "job-sent-elsewhere")
            .with("request", it)
            .with("shard", where.shard)
            .with("batch", batch.number)
            .with("epoch", m_epoch);
        for (const ReplyId waiting : std::exchange(where.waiting, {})) {
            replyRedirected(waiting, where.shard);
        }
    }
    for (const auto &[id, state] : batch.states) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end()) {
            continue;
        }
        Job &job = found->second;
        job.storedState = state;
        if (state == JobState::Active) {
            continue;
        }
        for (const ReplyId waiting : job.cancelReplies) {
            reply(waiting, Answer::Cancelled);
        }
        job.cancelReplies.clear();
    }
    for (const auto &[id, cursor] : batch.cursors) {
        const auto found = m_workers.find(id);
        // A worker that has restarted since then numbers its ends from the beginning.
        if (found != m_workers.end() && cursor <= found->second.processedCursor) {
            found->second.ackCursor = std::max(found->second.ackCursor, cursor);
            found->second.nextRenewal = std::min(found->second.nextRenewal, now);
        }
    }
    for (const TaskId &it : batch.starts) {
        sendStart(it, now);
    }
}

void Shard::endJob(Job &job, JobState state, WallTime wall, Base::Instant now)
{
    job.state = state;
    job.endedAt = wall;
    m_advice.forget(job.spec.id);
    std::erase(m_active, &job);
    markChanged(job);
    stopRuns(job, now);
    Base::LogLine(Base::LogLevel::Info, "job-ended")
        .with("request", job.spec.id)
        .with("queue", job.spec.queue.name)
        .with("workspace", job.spec.workspace)
        .with("excess", job.spec.isExcess)
        .with("state", toString(state))
        .with("after_ms", (wall - job.acceptedAt).count());
}

void Shard::adviceAnswered(const AdviceQuery &question,
                           const std::optional<AdviceAnswer> &answer,
                           Base::Instant now)
{
    m_advice.answered(question, answer, now);
    m_hasChanged = true;
}

void Shard::reply(ReplyId id, Answer answer, Milliseconds retryAfter)
{
    m_commands.emplace_back(SendReply{.reply = id, .answer = answer, .retryAfter = retryAfter});
}

void Shard::replyRedirected(ReplyId id, ShardNumber shard)
{
    m_commands.emplace_back(SendReply{.reply = id, .answer = Answer::Redirected, .redirectedTo = shard});
}

std::vector<Command> Shard::takeCommands()
{
    return std::exchange(m_commands, {});
}

} // namespace Jobs
