#pragma once

#include "advicecache.h"
#include "arrivalallowance.h"
#include "fairshares.h"
#include "jobrecord.h"
#include "losscounts.h"
#include "lostruns.h"
#include "memorylimits.h"
#include "placement.h"
#include "quotausage.h"
#include "reservations.h"
#include "runtimes.h"
#include "shardcommands.h"
#include "waitreport.h"
#include "worker.h"

#include <base/instant.h>

#include <cstddef>
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
    Milliseconds lease{4000}; ///< a worker ends its runs this long after its last renewal
    Milliseconds leaseLimit{10000}; ///< upper bound that workers put on a lease
    Milliseconds staleOwnerTimeout{2000}; ///< longest time of renewals after a successor may have been chosen
    Milliseconds renewal{800}; ///< interval of the lease renewals of a worker with runs
    Milliseconds batchPeriod{25}; ///< minimum interval between two appends
    Milliseconds appendTimeout{400}; ///< new jobs are refused while an append takes longer than this
    Milliseconds orderTimeout{800}; ///< an order that has no answer by then is withdrawn
    Milliseconds maxOrderDelay{13'000}; ///< an unanswered order may be carried out for this long
    Milliseconds startAnswerTimeout{300}; ///< an unanswered, unlisted start is stopped after this
    Milliseconds retention{150'000}; ///< the state of an ended job can be queried for this long
    Milliseconds evacuationHold{1500}; ///< a worker gets no new runs for this long after a call of evacuate()
    Milliseconds drainReserve{400}; ///< runs are stopped this long before the drain deadline of their worker
    Milliseconds occurrenceLead{50}; ///< an occurrence starts at most this long before it is due
    bool learnsRunTimes = true; ///< expects what finished runs have taken, where that is proven better
};

/// The jobs and workers of one shard, as its owner manages them. Performs no I/O and reads no clock: the
/// caller passes in events with the current time, and executes the commands that takeCommands() returns.
///
/// Nothing is reported, ordered or acknowledged before the record that it is based on has been stored: there
/// is one append at a time, and a start is sent only after the append with its assignment.
class Shard
{
public:
    /// Key of no record.
    static constexpr std::string_view UnusedKey = "none";

    /// `member` identifies this owner in the owner record that later owners read. `firstToken` is the lowest
    /// token of its orders if this member has already owned the shard in this epoch.
    Shard(const ShardSettings &settings, Epoch epoch, std::string member, OrderToken firstToken = 0);

    // To take over a shard, call load() for every stored record, then begin().
    /// `isLast` is true if nothing has been appended to the shard after the record.
    void load(std::string_view key, std::string_view value, bool isLast = false);
    /// `hasEnded` returns whether the process of a member is known to have ended.
    void
    begin(Base::Instant now, WallTime wall, const std::function<bool(const std::string &member)> &hasEnded);

    /// Replaces the list of workers of this shard's services.
    void setWorkers(std::span<const WorkerInfo> workers, Base::Instant now);
    /// Sets what each workspace may have running on this shard. Returns whether that has changed. Until the
    /// first call no task of a workspace starts.
    bool setQuotaLimits(QuotaUsage::Limits limits);
    const QuotaUsage &quotaUsage() const;
    /// Sets the accepted load of the workspaces on this shard; jobs beyond it are marked as excess. It is
    /// also the weight of a workspace when the workers are full.
    void setArrivalRates(ArrivalAllowance::Rates rates);
    /// What the workspaces may have while they ask for more than the workers have, as of the last placement.
    const FairShares &fairShares() const;
    void setMemoryLimits(const MemoryLimits &limits);
    /// An upper estimate of the memory that the jobs take, without their begun tasks, in bytes.
    std::size_t heldBytes() const;
    /// While the membership of this owner has lapsed, no job is accepted or started. Existing runs continue.
    void setMembershipLapsed(bool isLapsed);
    /// Appends a record without content, if there is nothing else to append. That the store accepts it shows
    /// that there is no later owner.
    void confirmOwnership();
    /// Answers all pending requests before the shard is handed over.
    void refusePendingRequests();
    /// The records that tell a later owner that this one has stopped renewing leases, which earlier owners
    /// may still renew some, and when the leases end of workers that this one could not reach.
    std::vector<Record> releaseRecords(Base::Instant now) const;

    void submit(JobSpec spec, ReplyId reply, Base::Instant now, WallTime wall);
    /// Stores that the job belongs to another shard, and replies with that shard once stored. Does not check
    /// whether this shard has the job, see contains().
    void redirect(const std::string &job, ShardNumber shard, ReplyId reply, Base::Instant now, WallTime wall);
    /// The shard that a job is redirected to, if any.
    std::optional<ShardNumber> redirectedTo(std::string_view job) const;
    /// Removes the redirection of a job, which the other shard has removed or never had, unless the job has
    /// been submitted again since the query to that shard.
    void removeRedirect(const std::string &job);
    /// Whether the job was submitted to this shard, stored or not.
    bool contains(std::string_view job) const;
    /// Whether the job or its redirection was submitted to this shard and isn't known to be stored. It may
    /// still be stored and run, or be refused.
    bool isUnsettled(std::string_view job) const;
    void cancel(std::string_view job, ReplyId reply, Base::Instant now, WallTime wall);
    /// The job as stored; null if there is none of that ID. What callers are told is its storedState.
    const Job *find(std::string_view job) const;
    /// The number of accepted jobs of the queue none of whose tasks has started.
    std::size_t pending(std::string_view queue) const;

    std::vector<ServiceDemand> demand(Base::Instant now, WallTime wall) const;
    /// Jobs that have had no run for MinReportedWait although tasks of them are ready. Valid until the shard
    /// changes.
    std::vector<WaitReport> waitingJobs(Base::Instant now) const;
    /// Starts nothing new on the worker for ShardSettings::evacuationHold and evicts the runs that may be
    /// moved. Returns whether the worker has no runs.
    bool evacuate(const std::string &worker, Base::Instant now);

    void appended(std::uint64_t batch, AppendResult result, Base::Instant now, WallTime wall);
    void startAnswered(const StartRun &order, OrderResult result, std::int64_t clock, Base::Instant now);
    void stopAnswered(const StopRun &order, OrderResult result, std::int64_t clock, Base::Instant now);
    void renewAnswered(
        const RenewLease &order, OrderResult result, const RunList &list, Base::Instant now, WallTime wall);

    void paceAnswered(const PaceRun &order, OrderResult result);

    /// Without an answer the query is repeated later.
    void
    adviceAnswered(const AdviceQuery &question, const std::optional<AdviceAnswer> &answer, Base::Instant now);

    /// Does all work that is due by now. To be called after events and at nextDue().
    void processDue(Base::Instant now, WallTime wall);
    Base::Instant nextDue(Base::Instant now) const;
    std::vector<Command> takeCommands();

    Epoch epoch() const;
    /// The highest token of any order so far.
    OrderToken highestToken() const;
    const std::map<std::string, Worker> &workers() const;
    const std::map<std::string, Job, std::less<>> &jobs() const;
    const RunTimes &runTimes() const;
    /// Since the shard was created.
    const LossCounts &losses() const;
    UnconfirmedRuns unconfirmedRuns(Base::Instant now) const;
    /// The number of runs that are not the current ones of their tasks.
    std::size_t strayRunCount() const;

private:
    static constexpr std::string_view OwnerKey = "owner";
    static constexpr Milliseconds MinReportedWait{1000};
    static constexpr Milliseconds StopRetryDelay{250};
    // Crashes of workers under a task from which on it is given up.
    static constexpr std::uint32_t MaxCrashes = 3;
    // The same for a long-running one, as the other tasks of its job end with it.
    static constexpr std::uint32_t MaxLongRunningCrashes = 4;
    // With crashes that are in doubt, it is started until there are this many.
    static constexpr std::uint32_t MaxLosses = 5;
    // Crashes from which on a task gets a worker for itself.
    static constexpr std::uint32_t IsolatedCrashes = 2;
    // How often a start without an answer is sent again before the run is given up.
    static constexpr std::uint32_t MaxStartRepeats = 2;
    // Sent as retry delay to callers whose job was refused because the store did not answer.
    static constexpr Milliseconds StoreRetryAfter{1000};

    struct Batch {
        std::uint64_t number = 0;
        std::vector<std::string> jobs; ///< jobs whose progress the append contains
        std::map<std::string, JobState> states;
        std::vector<std::string> newJobs; ///< jobs whose specification the append contains
        std::vector<std::string> redirectedJobs; ///< jobs whose redirection the append contains
        std::vector<std::pair<std::string, std::uint64_t>> cursors; ///< by worker, last run end
        std::vector<TaskId> starts; ///< runs whose assignment the append contains
        bool hasRunTimes = false; ///< whether the append contains the record of run times
        bool hasIncarnations = false; ///< whether the append contains the record of incarnations
        bool hasLeases = false; ///< whether the append contains the record of leases
        Base::Instant sentAt;
    };

    /// A job that belongs to another shard.
    struct RedirectedJob {
        ShardNumber shard = 0;
        WallTime since{};
        WallTime checkedAt{}; ///< time of the last query to the other shard
        WallTime submittedAt{}; ///< when a submission was last sent on to the other shard
        bool isStored = false;
        std::uint64_t firstBatch = 0; ///< number of the append that contains it; 0: none yet
        std::vector<ReplyId> waiting;
    };

    void applyLoadedProgress();
    void applyLoadedLeases(Base::Instant now);
    /// The names of earlier owners that may still renew leases, each preceded by a line break.
    std::string earlierOwners(Base::Instant now) const;
    /// The leases that last longer than a renewal would.
    LeaseTimes longLeases(Base::Instant now) const;
    /// The incarnations of workers that have answered with the present token, so that all later leases are by
    /// their clocks.
    Incarnations knownIncarnations() const;
    /// The reason why no new job can be stored now; empty if one can.
    std::string_view refusalReason(Base::Instant now) const;
    void refuse(std::string_view job, std::string_view reason, ReplyId reply);
    Job &addJob(Job job);
    bool hasMemoryFor(const Job &job) const;
    void markChanged(Job &job);

    // Runs and workers, see shardworkers.cpp, shardruns.cpp and shardeviction.cpp.
    Worker &workerFor(const std::string &id);
    void handleWorkerRestart(Worker &worker, std::int64_t startTime, RestartNotice notice, Base::Instant now);
    /// Whether an order that was sent at `sentAt`, and answered with the time `clock` of the worker's clock,
    /// was carried out by the incarnation that its latest list came from. If not, the worker is queried
    /// first.
    bool checkIncarnation(Worker &worker, std::int64_t clock, Base::Instant sentAt, Base::Instant now);
    static void queryAgain(Worker &worker, Base::Instant now);
    /// Whether the worker has answered so recently that it can be taken to be running. If not, queries it.
    static bool isJustHeard(Worker &worker, Base::Instant now);
    void processRunList(
        Worker &worker, OrderToken askedWith, const RunList &list, Base::Instant now, WallTime wall);
    void processRunEnd(Worker &worker, const ListedEnd &end, Base::Instant now, WallTime wall);
    /// Completes the task if a run of it has ended as done that this owner has given up.
    void completeByFormerRun(
        const Worker &worker, Job &job, const ListedEnd &end, Base::Instant now, WallTime wall);
    void throttleBestEffortRuns(Worker &worker, const RunList &list);
    void resolveUnlistedRuns(Worker &worker,
                             OrderToken askedWith,
                             const RunList &list,
                             const std::vector<TaskId> &listed,
                             Base::Instant now);
    void endRun(Job &job, const TaskId &id, Task &task);
    /// Takes the current run, which may go on, off its task and stops it.
    void detachRun(Job &job, const TaskId &id, Task &task, Base::Instant now);
    /// Adds a stray run of the worker, which counts from then on.
    StrayRun &addStrayRun(Worker &worker, const RunId &id, const Task &run);
    void strayStartAnswered(Worker &worker,
                            StrayRun &stray,
                            const StartRun &order,
                            OrderResult result,
                            std::int64_t clock,
                            Base::Instant now);
    /// Notes that the worker has listed a stray run.
    void strayRunListed(
        Worker &worker, OrderToken askedWith, const RunList &list, const ListedRun &run, Base::Instant now);
    /// Ends the stray runs that the worker lists no more.
    void endUnlistedStrayRuns(Worker &worker, OrderToken askedWith, const RunList &list);
    void endExpiredStrayRuns(Worker &worker, Base::Instant now);
    /// Returns the run after it.
    Worker::StrayRuns::iterator
    endStrayRun(Worker &worker, Worker::StrayRuns::iterator it, std::string_view reason);
    void stopStrayRun(const Worker &worker, const TaskId &id, StrayRun &stray, Base::Instant now);
    void repeatStrayStops(Base::Instant now);
    /// Ends a run that its worker took with it. `lostTogether` runs were lost at the same time.
    void endLostRun(Job &job, const TaskId &id, Task &task, std::size_t lostTogether, Base::Instant now);
    /// Ends a run that its worker does not list; it is lost if the worker has restarted since its assignment.
    void endUnlistedRun(Job &job, const TaskId &id, Task &task, Base::Instant now);
    /// Whether the task is a long-running one that its worker has listed for this long.
    static bool hasRunFor(Milliseconds time, const Stage &stage, const Task &task, Base::Instant now);
    /// Forgets the crashes of workers under the task, which runs.
    void clearSuspicion(Job &job, const TaskId &id, Task &task);
    /// The worker has answered in the life in which it lost runs, so it has not crashed.
    void withdrawCrashes(const Worker &worker);
    /// Marks the run on its worker if workers have crashed under the task.
    static void markSuspect(Worker &worker, const TaskId &id, const Task &task);
    /// Completes the task by the end of a run, its current one or an earlier one.
    void completeTask(const Worker &worker, Job &job, const ListedEnd &end, WallTime wall, Base::Instant now);
    void recordTaskFailure(Job &job, const TaskId &id, Task &task, Base::Instant now, WallTime wall);
    void orderStop(const TaskId &id, Task &task, Base::Instant now);
    void repeatOrStop(Job &job, const TaskId &id, Task &task, Base::Instant now);
    /// Ends a run whose start the worker has refused, once no start of it can be carried out any more.
    void endRefusedRun(Job &job, const TaskId &id, Task &task, Base::Instant now);
    void stopRuns(Job &job, Base::Instant now);
    void endExpiredRuns(Base::Instant now);
    /// Those of one worker; none unless it is silent.
    UnconfirmedRuns unconfirmedRuns(const Worker &worker, Base::Instant now) const;
    void evictRuns(Base::Instant now, WallTime wall);
    void reserveDestination(const TaskId &id, Base::Instant now, Reservations &reserved);
    void evictRuns(Worker &worker, Base::Instant now, WallTime wall, Reservations &reserved);
    /// The condition under which a run may be evicted from its worker.
    enum class EvictionRule { Never, IfPlaceFound, Always };
    EvictionRule evictionRule(const Job &job,
                              const TaskId &id,
                              const Task &task,
                              const Worker &worker,
                              Base::Instant now,
                              WallTime wall) const;
    static void addUnopenedDemand(const Job &job, WallTime wall, ServiceDemand &demand);
    /// Raises the demand for cores where workers have shrunk.
    void scaleDemandToShrunkWorkers(std::map<std::string, ServiceDemand> &demands) const;
    /// Sets ServiceDemand::emptyWorkers of each service, given its releasable workers.
    void addWholeWorkerDemand(std::map<std::string, ServiceDemand> &demands, Base::Instant now) const;
    /// Logs long-running tasks that no worker has room for, and why.
    void logUnplaceableTasks(Base::Instant now) const;
    /// Logs jobs without a run whose tasks are ready, and why they wait.
    void logWaitingJobs(Base::Instant now) const;
    /// Logs the workspaces that let others go first because of their share.
    void logShares() const;
    /// The estimated time until all runs on the worker have ended.
    Milliseconds timeToEmpty(const Worker &worker, Base::Instant now) const;
    /// What is left of a run of the stage that was ordered that long ago.
    Milliseconds expectedRest(const Job &job,
                              const Occurrence &occurrence,
                              std::uint32_t stage,
                              Milliseconds elapsed) const;

    // Run times, see shardexpectations.cpp.
    /// Counts the run, which has ended as done, if it took the whole time of a task under usual conditions.
    void learnRunTime(Job &job, const TaskId &id, const Task &task, const Worker &worker, Base::Instant now);
    void updateExpectations(Job &job, Occurrence &occurrence) const;
    /// The same for all jobs, if run times have been learned since and not too often.
    void updateExpectations(Base::Instant now);
    void loadRunTimes(Base::Instant now);
    /// The record of run times for the next append, if they have changed and the last one is not recent.
    std::optional<Record> changedRunTimes(Base::Instant now);
    void logRunTimes() const;

    bool isServing(const Task &task) const;
    /// The number of other tasks of the stage that are not serving.
    std::uint32_t unavailableSiblings(const Job &job, const TaskId &id, const Task &task) const;
    bool isDrainDeadlineNear(const Worker &worker, Base::Instant now) const;
    bool isEvictionAllowed(
        const Job &job, const TaskId &id, const Task &task, const Worker &worker, Base::Instant now) const;
    void repeatStops(Base::Instant now);
    void sendRenewals(Base::Instant now);
    std::int64_t leaseEnd(Worker &worker, Base::Instant now) const;
    /// The longest time from sending an order to the end of its lease, with the slowest worker clock.
    static Milliseconds longestTime(Milliseconds lease);
    /// The same if a restarted worker carries the order out, at any time that it may take to arrive.
    Milliseconds longestTimeAfterRestart() const;
    /// The time by which the run has ended, unless the lease is renewed.
    Base::Instant endOf(const Worker &worker, bool isLongRunning, const Task &run) const;
    /// Whether this owner's first list of the worker may come from an incarnation that the owner before did
    /// not know of and has given leases to.
    bool mayBeUnknownToEarlierOwner(const Worker &worker, const RunList &list, Base::Instant now) const;
    void confirmRun(Job &job, const TaskId &id, Task &task);
    /// Adds the progress of jobs whose record doesn't tell which of their runs are confirmed, and by when the
    /// others on silent workers have ended.
    void addUnrecordedConfirmations(std::vector<Record> &records, Base::Instant now) const;

    // Placement and appends, see shardplacement.cpp and shardappends.cpp.
    /// Opens the occurrences that are due, lowest first, as far as Job::openLimit() allows.
    void addDueOccurrences(Job &job, WallTime wall);
    /// Whether a task of the occurrence may be assigned without too many tasks being in memory.
    bool mayBegin(const Occurrence &occurrence) const;
    void place(Base::Instant now, WallTime wall);
    /// Returns the candidates that the advice service allows, and queries the service if none of them has
    /// room.
    std::vector<Candidate> allowedByAdvice(const Job &job,
                                           std::uint32_t number,
                                           std::uint32_t stage,
                                           std::vector<Candidate> candidates,
                                           Base::Instant now);
    /// Lets workspaces beyond their share go last. Returns the number of occurrences before them.
    std::size_t deferBeyondShares(std::vector<UnfinishedOccurrence> &ready, Base::Instant now, WallTime wall);
    /// Why tasks wait that the limits of their workspace don't allow.
    WaitReason quotaWaitReason() const;
    const std::vector<Candidate> &candidatesOf(const std::string &service);
    std::vector<Candidate> candidatesFor(const Job &job, std::uint32_t number, std::uint32_t stage);
    /// The tasks of a stage on a worker; 0 if the stage doesn't limit them.
    struct StageTasks {
        std::uint32_t counted = 0; ///< by this owner, with those that are about to start
        std::uint32_t listed = 0; ///< by the worker in its latest list, for logs
    };
    static StageTasks stageTasksOn(const Worker &worker, const Job &job, const TaskId &id);
    void placeStage(
        Job &job, std::uint32_t number, Occurrence &occurrence, std::uint32_t stage, Base::Instant now);
    void
    placeGang(Job &job, std::uint32_t number, Occurrence &occurrence, std::uint32_t stage, Base::Instant now);
    /// A worker for a task under which workers have crashed; null if it has to wait.
    Worker *placeForSuspect(const Stage &stage,
                            const Task &task,
                            std::span<const Candidate> candidates,
                            Base::Instant now);
    /// Withholds the worker from other tasks for the start of a task that needs it for itself.
    static void isolate(Worker &worker, Base::Instant now);
    /// Fails the jobs with a task under which too many workers have crashed.
    void giveUpDeadlyJobs(WallTime wall, Base::Instant now);
    /// Such a task of the job.
    std::optional<TaskId> deadlyTask(const Job &job) const;
    /// Whether too many workers have crashed under the task, without those that may still answer.
    bool isDeadly(const Stage &stage, const TaskId &id, const Task &task) const;
    /// Why the waiting task must not start on any worker now, if so.
    std::optional<WaitReason> startBlockedBy(const Stage &stage, const TaskId &id, const Task &task) const;
    void
    assign(Job &job, const TaskId &id, Task &task, Worker &worker, std::uint32_t attempt, Base::Instant now);
    void sendBatch(Base::Instant now);
    /// The record of leases for the next append, if that needs one.
    std::optional<Record> changedLeases(Base::Instant now, bool hasOtherRecords);
    void sendStart(const TaskId &id, Base::Instant now);
    /// Orders the start of the run, unless its worker must not start it now.
    bool orderStart(Job &job, const TaskId &id, Task &task, Base::Instant now);
    void refuseUnsentJobs(Base::Instant now);
    void removeEndedJobs(WallTime wall);
    void checkRedirectedJobs(WallTime wall);
    void endJob(Job &job, JobState state, WallTime wall, Base::Instant now);
    void reply(ReplyId id, Answer answer, Milliseconds retryAfter = {});
    void replyRedirected(ReplyId id, ShardNumber shard);

    ShardSettings m_settings;
    Epoch m_epoch;
    std::string m_member;
    OrderToken m_highestToken = 0;
    std::vector<std::string> m_earlierOwners; ///< not released the shard, not known to have ended
    Base::Instant m_earlierOwnersRenewUntil; ///< from this time on no earlier owner renews a lease
    bool m_isOwnerRecordSent = false; ///< the owner record is stored or in the append under way
    bool m_isOwnerRecordStored = false; ///< the owner record is known to be stored
    bool m_areEarlierOwnersRecorded = false; ///< the stored owner record names earlier owners
    std::map<std::string, Job, std::less<>> m_jobs;
    MemoryLimits m_memoryLimits;
    std::size_t m_heldBytes = 0; ///< sum of Job::memory()
    // Jobs that have not ended. Ended ones stay in m_jobs for minutes, so each pass iterates over these only.
    std::vector<Job *> m_active;
    std::vector<Job *> m_changed; ///< jobs with isDirty set
    std::map<std::string, RedirectedJob, std::less<>> m_redirectedJobs; ///< by job ID
    std::vector<std::string> m_newRedirects; ///< jobs whose redirection is not yet in an append
    std::set<TaskId> m_stopping; ///< runs that were ordered to stop; may contain runs that have ended
    std::multiset<TaskId> m_strayTasks; ///< tasks of the workers' stray runs
    LeaseTimes m_loadedLeases;
    bool m_areLoadedLeasesLast = false; ///< whether no owner has appended anything after them
    Incarnations m_loadedIncarnations; ///< known to an earlier owner
    std::optional<Incarnations> m_recordedIncarnations; ///< in the stored record; nullopt: not known
    bool m_hadEarlierOwner = false; ///< whether there were any records
    bool m_isReleased = true; ///< whether the latest owner has released the shard
    // By worker, the ends in the stored record of leases; nullopt if the outcome of an append of it is not
    // known.
    std::optional<std::map<std::string, Base::Instant>> m_recordedLeases;
    std::map<std::string, std::string> m_loadedProgress; ///< by job ID, kept until all records are loaded
    std::map<std::string, Worker> m_workers;
    std::map<std::string, std::vector<Candidate>> m_candidates; ///< by service, for one placement
    std::map<std::string, std::vector<Resources>> m_unplaceableSizes; ///< by service, for one placement
    std::vector<Command> m_commands;
    std::optional<Batch> m_batch; ///< the append under way
    std::uint64_t m_lastBatch = 0;
    Base::Instant m_lastBatchAt;
    struct Arrivals {
        double work = 0; ///< core-seconds without long-running tasks
        std::uint64_t jobs = 0; ///< with such work
    };
    std::map<std::string, Arrivals> m_arrivals; ///< by service
    LostRuns m_lostRuns;
    LossCounts m_losses;
    bool m_hasDeadlyTask = false; ///< too many workers have crashed under some task since the last pass
    std::uint32_t m_emptiedWorkers = 0; ///< in this placement
    std::uint64_t m_begunTasks = 0; ///< of the occurrences that have been begun, in this placement
    AdviceCache m_advice;
    QuotaUsage m_quotaUsage;
    ArrivalAllowance m_arrivalAllowance;
    RunTimes m_runTimes;
    std::string m_loadedRunTimes; ///< the record, until begin()
    std::uint64_t m_expectedRevision = 0; ///< of m_runTimes, as of the latest expectations of all jobs
    std::uint64_t m_recordedRevision = 0; ///< the same as of its latest record
    Base::Instant m_nextExpectations;
    Base::Instant m_nextRunTimesRecord;
    Base::Instant m_nextRunTimesLog;
    FairShares m_fairShares;
    WaitReason m_roomReason = WaitReason::NoRoom; ///< why the occurrence that is being placed finds no room
    std::vector<TaskId> m_plannedStarts;
    std::vector<std::string> m_deletedKeys; ///< keys of records that the next append deletes
    Base::Instant m_nextSweep;
    Base::Instant m_nextOccurrenceDue;
    Base::Instant m_nextEviction;
    Base::Instant m_nextPlacementRetry; ///< when skipped workers may be usable again
    bool m_isMembershipLapsed = false;
    bool m_mustConfirmOwnership = false;
    /// When a worker has last answered a query, but not a start that it was sent before.
    std::optional<Base::Instant> m_lateOrderSeenAt;
    Base::Instant m_begunAt; ///< when this owner began to serve the shard
    bool m_hasChanged = true; ///< since the last placement round
};

} // namespace Jobs
