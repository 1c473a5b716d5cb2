#pragma once

#include "advicecache.h"
#include "placement.h"
#include "reservations.h"
#include "shardcommands.h"
#include "worker.h"

#include <base/instant.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jobs
{

struct ShardSettings {
    Milliseconds lease{4000}; ///< how long a worker goes on without hearing from its owner
    Milliseconds leaseLimit{10000}; ///< the longest lease that workers grant
    Milliseconds adrift{2000}; ///< an owner stops renewing at most so long after another may have been chosen
    Milliseconds renewal{800}; ///< a lease is renewed this often
    Milliseconds batchPeriod{25}; ///< between two appends
    Milliseconds appendTimeout{400}; ///< an append that takes longer makes new jobs be refused
    Milliseconds maxStartDelay{13'000}; ///< a start without an answer may be carried out so much later
    Milliseconds startAnswerTimeout{
        300}; ///< before a run that isn't listed after an unanswered order is stopped
    Milliseconds retention{150'000}; ///< how long an ended job's state can be asked for
    Milliseconds evacuation{1500}; ///< a worker gets nothing new for so long after a call of evacuate()
    Milliseconds drainReserve{400}; ///< runs are stopped this much before their worker leaves
    Milliseconds occurrenceLead{50}; ///< an occurrence is started this much before it is due at most
};

/// One shard's jobs and workers, as their owner keeps them. Knows no sockets and no clock: the caller hands
/// in what arrives, with the time, and carries out the commands it takes out.
///
/// Nothing is shown, ordered or acknowledged before the record that it follows from is stored: appends go out
/// one at a time, and orders wait for the append that carries their assignment.
class Shard
{
public:
    /// `member` names this owner in the record that later owners read.
    Shard(const ShardSettings &settings, Epoch epoch, std::string member);

    // Taking over: every stored record, then begin().
    void load(std::string_view key, std::string_view value);
    /// `hasEnded` tells of a member whether its process is known to have ended.
    void
    begin(Base::Instant now, WallTime wall, const std::function<bool(const std::string &member)> &hasEnded);

    /// The workers of this shard's services, whole.
    void setWorkers(std::span<const WorkerInfo> workers, Base::Instant now);
    /// Without the store nothing is accepted or started; what runs is kept.
    void setAdrift(bool isLapsed);
    /// Ends all that waits with an answer, before the shard is handed over.
    void refuseWaiting();
    /// What tells a later owner that this one renews no more leases, and which earlier ones still may.
    Record releaseRecord(Base::Instant now) const;

    void submit(JobSpec spec, ReplyId reply, Base::Instant now, WallTime wall);
    /// Stores that another shard has the job, and says so then; does nothing else with a job that this one
    /// has.
    void submitElsewhere(
        const std::string &job, ShardNumber shard, ReplyId reply, Base::Instant now, WallTime wall);
    /// The shard that is to have a job instead of this one.
    std::optional<ShardNumber> elsewhere(std::string_view job) const;
    /// The other shard has forgotten the job, or never had it.
    void forgetElsewhere(const std::string &job);
    /// A job that was handed in here, stored or not.
    bool has(std::string_view job) const;
    void cancel(std::string_view job, ReplyId reply, Base::Instant now, WallTime wall);
    /// The stored state; null when there is no such job.
    const Job *find(std::string_view job) const;
    /// Accepted jobs of which no task has started.
    std::size_t pending(std::string_view queue) const;

    std::vector<ServiceDemand> demand(Base::Instant now, WallTime wall) const;
    /// Gives the worker nothing new for a while, and moves away what can be; true when nothing runs there.
    bool evacuate(const std::string &worker, Base::Instant now);

    void appended(std::uint64_t batch, AppendResult result, Base::Instant now, WallTime wall);
    void startAnswered(const StartRun &order, OrderResult result, std::int64_t clock, Base::Instant now);
    void stopAnswered(const StopRun &order, OrderResult result, std::int64_t clock, Base::Instant now);
    void renewAnswered(
        const RenewLease &order, OrderResult result, const RunList &list, Base::Instant now, WallTime wall);

    void paceAnswered(const PaceRun &order, OrderResult result);

    /// Without an answer the question is asked again later.
    void
    adviceAnswered(const AskAdvice &question, const std::optional<AdviceAnswer> &answer, Base::Instant now);

    /// Decides what is due by now; to be called after events and at nextDue().
    void pass(Base::Instant now, WallTime wall);
    Base::Instant nextDue(Base::Instant now) const;
    std::vector<Command> takeCommands();

    Epoch epoch() const;
    const std::map<std::string, Worker> &workers() const;
    const std::map<std::string, Job, std::less<>> &jobs() const;

private:
    static constexpr std::string_view OwnerKey = "owner";
    // A caller whose job was refused because the store doesn't answer may come back after this.
    static constexpr Milliseconds StoreRetryAfter{1000};

    struct Batch {
        std::uint64_t number = 0;
        std::vector<std::string> jobs; ///< whose progress it carries
        std::map<std::string, JobState> states;
        std::vector<std::string> newJobs; ///< whose specification it carries
        std::vector<std::string> redirectedJobs; ///< jobs whose other shard it carries
        std::vector<std::pair<std::string, std::uint64_t>> cursors; ///< worker, ends that it carries
        std::vector<TaskId> starts; ///< assignments that it carries
        Base::Instant sentAt;
    };

    /// A job that another shard has.
    struct RedirectedJob {
        ShardNumber shard = 0;
        WallTime since{};
        WallTime checkedAt{}; ///< when the other shard was last asked for it
        bool isStored = false;
        std::uint64_t firstBatch = 0; ///< the append that carries it; 0: none yet
        std::vector<ReplyId> waiting;
    };

    void applyLoadedProgress();
    /// The names of earlier owners that may still renew leases, each after a line break.
    std::string earlierOwners(Base::Instant now) const;
    /// Why nothing new can be stored now; empty when it can.
    std::string_view refusalReason(Base::Instant now) const;
    void refuse(std::string_view job, std::string_view reason, ReplyId reply);
    Job &addJob(Job job);
    void markChanged(Job &job);

    // shardworkers.cpp: runs and workers
    Worker &workerFor(const std::string &id);
    void handleWorkerRestart(Worker &worker, std::int64_t born, Base::Instant now);
    void processRunList(
        Worker &worker, OrderToken askedWith, const RunList &list, Base::Instant now, WallTime wall);
    void processRunEnd(Worker &worker, const ListedEnd &end, Base::Instant now, WallTime wall);
    void throttleBestEffortRuns(Worker &worker, const RunList &list);
    void resolveUnlistedRuns(Worker &worker,
                             OrderToken askedWith,
                             const RunList &list,
                             const std::vector<TaskId> &listed,
                             Base::Instant now);
    void endRun(Job &job, const TaskId &id, Task &task);
    void completeTask(Job &job, const TaskId &id, WallTime wall, Base::Instant now);
    void recordTaskFailure(Job &job, const TaskId &id, Task &task, Base::Instant now, WallTime wall);
    void orderStop(const TaskId &id, Task &task, Base::Instant now);
    void stopRuns(Job &job, Base::Instant now);
    void endExpiredRuns(Base::Instant now);
    void evictRuns(Base::Instant now, WallTime wall);
    void reserveDestination(const TaskId &id, Base::Instant now, Reservations &reserved);
    void evictRuns(Worker &worker, Base::Instant now, WallTime wall, Reservations &reserved);
    /// What the run needs to find before it may leave its worker.
    enum class EvictionRule { Never, IfPlaceFound, Always };
    EvictionRule evictionRule(const Job &job,
                              const TaskId &id,
                              const Task &task,
                              const Worker &worker,
                              Base::Instant now,
                              WallTime wall) const;
    /// Sets wholeWorkers of each service.
    void addWholeWorkerDemand(std::map<std::string, ServiceDemand> &demands, Base::Instant now) const;
    /// Until the runs there have ended, by their estimates.
    Milliseconds timeToEmpty(const Worker &worker, Base::Instant now) const;
    bool isServing(const Task &task) const;
    /// Tasks of the stage, but for this one, that are not at work.
    std::uint32_t unavailableSiblings(const Job &job, const TaskId &id, const Task &task) const;
    bool isDrainDeadlineNear(const Worker &worker, Base::Instant now) const;
    bool isEvictionAllowed(
        const Job &job, const TaskId &id, const Task &task, const Worker &worker, Base::Instant now) const;
    void repeatStops(Base::Instant now);
    void sendRenewals(Base::Instant now);
    std::int64_t leaseEnd(Worker &worker, Base::Instant now) const;
    /// From the sending of a renewal to the end of its lease, by the slowest clock.
    Milliseconds longestLease() const;

    // shardpass.cpp: placing and storing
    void addDueOccurrences(Job &job, WallTime wall);
    void place(Base::Instant now, WallTime wall);
    /// Leaves those that the queue's policy allows, and asks when there are too few.
    std::vector<Candidate> allowedByAdvice(const Job &job,
                                           std::uint32_t number,
                                           std::uint32_t stage,
                                           std::vector<Candidate> candidates,
                                           Base::Instant now);
    const std::vector<Candidate> &candidatesOf(const std::string &service);
    std::vector<Candidate> candidatesFor(const Job &job, const Stage &stage, const StageProgress &progress);
    void placeStage(
        Job &job, std::uint32_t number, Occurrence &occurrence, std::uint32_t stage, Base::Instant now);
    void
    placeGang(Job &job, std::uint32_t number, Occurrence &occurrence, std::uint32_t stage, Base::Instant now);
    void assign(Job &job, const TaskId &id, Task &task, Worker &worker, std::uint32_t attempt);
    void sendBatch(Base::Instant now);
    void sendStart(const TaskId &id, Base::Instant now);
    void refuseUnsentJobs(Base::Instant now);
    void removeEndedJobs(WallTime wall);
    void checkRedirectedJobs(WallTime wall);
    void endJob(Job &job, JobState state, WallTime wall, Base::Instant now);
    void reply(ReplyId id, Answer answer, Milliseconds retryAfter = {});
    void replyRedirected(ReplyId id, ShardNumber shard);

    ShardSettings m_settings;
    Epoch m_epoch;
    std::string m_member;
    std::vector<std::string>
        m_earlierOwners; ///< that haven't released the shard, and aren't known to have ended
    Base::Instant m_earlierOwnersRenewUntil; ///< from here on none of them renews a lease
    bool m_isOwnerRecordSent = false; ///< or in the append under way
    bool m_isOwnerRecordStored = false; ///< its record is stored
    bool m_areEarlierOwnersRecorded = false; ///< in the record of the owner
    std::map<std::string, Job, std::less<>> m_jobs;
    // Jobs that have ended stay in m_jobs for minutes; what is done at every pass keeps to these.
    std::vector<Job *> m_active;
    std::vector<Job *> m_changed; ///< those with isDirty
    std::map<std::string, RedirectedJob, std::less<>> m_redirectedJobs; ///< by job
    std::vector<std::string> m_newRedirects; ///< not yet in an append
    std::set<TaskId> m_stopping; ///< runs that were ordered to stop; some may be gone
    std::map<std::string, std::string> m_loadedProgress; ///< of jobs, until all records are there
    std::map<std::string, Worker> m_workers;
    std::map<std::string, std::vector<Candidate>> m_candidates; ///< by service, during one placing
    std::map<std::string, std::vector<Resources>>
        m_unplaceableSizes; ///< sizes by service, during one placing
    std::vector<Command> m_commands;
    std::optional<Batch> m_batch; ///< under way
    std::uint64_t m_lastBatch = 0;
    Base::Instant m_lastBatchAt;
    std::map<std::string, double> m_arrivedWork; ///< core-seconds, by service
    AdviceCache m_advice;
    std::vector<TaskId> m_plannedStarts;
    std::vector<std::string> m_deletedKeys; ///< of records, by the next append
    Base::Instant m_nextSweep;
    Base::Instant m_nextOccurrenceDue;
    Base::Instant m_nextEviction;
    Base::Instant m_nextPlacementRetry; ///< workers that were left out may be used again by then
    bool m_isMembershipLapsed = false;
    bool m_hasChanged = true; ///< since the last placing
};

} // namespace Jobs
