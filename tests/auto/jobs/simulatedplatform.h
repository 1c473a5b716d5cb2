#pragma once

#include <base/timerservice.h>
#include <jobservice/quotaallocator.h>
#include <jobservice/servicelayout.h>
#include <jobservice/shardhost.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulates a platform in virtual time: a store with memberships, workers that run tasks under leases, and
/// connections that fail on request. Records every violated guarantee that workers or callers could observe.
class SimulatedPlatform
{
public:
    using Milliseconds = std::chrono::milliseconds;

    explicit SimulatedPlatform(std::uint32_t seed = 1, std::uint32_t shards = 1);

    struct Run {
        Jobs::TaskId task;
        std::uint32_t attempt = 0;
        Base::Instant endsAt;
        bool fails = false;
        std::optional<Base::Instant> stopsAt; ///< if it has been stopped and has not ended yet
        Milliseconds gangTime{}; ///< duration of a run that waits for the rest of its gang
    };

    class Worker
    {
    public:
        Jobs::WorkerInfo info;
        bool isUp = true;
        bool isListed = true; ///< whether the list of workers contains it
        bool enforcesCapacity = true; ///< refuses runs that exceed its capacity
        double clockRate = 1; ///< speed of its clock relative to true time
        std::set<std::string> unreachableFrom; ///< members that cannot reach it
        std::set<std::string> unheardBy; ///< members that do not get its answers
        Milliseconds delay{1}; ///< one-way delay
        double delayedShare = 0; ///< share of orders that are carried out late and not answered
        bool failsAll = false;
        bool isUnhealthy = false; ///< refuses all starts
        bool isStalled = false; ///< its runs do not progress
        Milliseconds longestStop{}; ///< a stopped run ends within this time
        Milliseconds entryLag{}; ///< until the list of workers shows a restart

    private:
        friend class SimulatedPlatform;
        Base::Instant m_startedAt;
        std::int64_t m_earlierStartTime = 0; ///< of the incarnation before
        Jobs::OrderToken m_token = 0;
        std::int64_t m_leaseEnd = 0;
        std::vector<std::pair<Base::Instant, Jobs::Resources>>
            m_earlierCapacities; ///< until when starts may use them
        std::vector<Run> m_runs;
        std::vector<Jobs::ListedEnd> m_ends;
        std::map<std::uint64_t, Base::Instant> m_endTimes; ///< by number
        std::uint64_t m_lastEnd = 0;
        std::uint64_t m_lapsedEnds = 0; ///< ends up to this number were unacknowledged when the lease expired
        std::map<Jobs::TaskId, std::uint32_t>
            m_highestAttempts; ///< highest attempt that ended or was stopped, by task
        std::vector<std::function<void()>>
            m_pendingRenewals; ///< answers to renewals that wait for the end of a run
        std::vector<std::pair<std::string, std::function<void()>>>
            m_openCalls; ///< unanswered calls: member, failure callback
    };

    /// The access of one member to the platform. Implements the ports of JobService::ShardHost.
    class Platform
    {
    public:
        Platform(SimulatedPlatform &world, std::string member);

        void loadShard(JobService::ShardNumber shard,
                       Jobs::Epoch epoch,
                       const JobService::RecordSink &sink,
                       const JobService::StoreCallback &done);
        void append(JobService::ShardNumber shard,
                    Jobs::Epoch epoch,
                    std::uint64_t sequence,
                    std::span<const Jobs::Record> records,
                    const JobService::StoreCallback &done);
        void startRun(const Jobs::WorkerInfo &worker,
                      const Jobs::StartRun &order,
                      const JobService::RunCallback &done);
        void stopRun(const Jobs::WorkerInfo &worker,
                     const Jobs::StopRun &order,
                     const JobService::RunCallback &done);
        void renewLease(const Jobs::WorkerInfo &worker,
                        const Jobs::RenewLease &order,
                        const JobService::ListCallback &done);
        void paceRun(const Jobs::WorkerInfo &worker,
                     const Jobs::PaceRun &order,
                     const JobService::RunCallback &done);
        void queryAdvice(const Jobs::AdviceQuery &question, const JobService::AdviceCallback &done);
        void renewMembership(const JobService::MembershipRenewal &renewal,
                             const JobService::GrantCallback &done);
        void leaveMembership(const std::function<void()> &done);
        void endMembership(const std::string &member, const std::function<void()> &done);
        void readOwners(const JobService::OwnersCallback &done);
        void appendAt(const std::string &topic,
                      std::uint64_t end,
                      std::span<const Jobs::Record> records,
                      const JobService::StoreCallback &done);
        void readSnapshot(const std::string &topic,
                          const std::optional<std::string> &after,
                          const JobService::ReadProgress &progress,
                          const std::function<void(std::optional<JobService::SnapshotPage>)> &done);
        void readTail(const std::string &topic,
                      std::uint64_t from,
                      Base::Duration wait,
                      const JobService::ReadProgress &progress,
                      const std::function<void(std::optional<JobService::TailPage>)> &done);

        /// Reads and writes records like the build of commit 8045e32: without the record of leases and
        /// without what follows the fifth element of a task.
        bool isEarlierBuild = false;
        bool isStoreDown = false; ///< unreachable for this member
        bool losesAnswers = false; ///< answers of the store are lost after the operation was done
        Milliseconds appendDelay{}; ///< if not zero, appends are done after this time and not answered
        bool losesRenewalAnswers = false; ///< the same for all renewals of the membership
        bool rejectsConditionalAppends = false; ///< appends that name a position are not done
        bool missesNewRecords = false; ///< reads that wait for new records are not ended by them

    private:
        SimulatedPlatform &m_world;
        std::string m_member;
    };

    /// A member process of the system.
    struct Member {
        Member(SimulatedPlatform &world, const std::string &name);
        std::string name;
        bool isAlive = true;
        Platform platform;
        JobService::ShardHost<Platform> host;
        JobService::QuotaAllocator<Platform> quotas;
        JobService::QueueHistory<Platform> queues;
    };

    Worker &addWorker(const std::string &id, std::int64_t milliCores = 8000);
    /// Divides the service "sign" into cells that are the first shards.
    void splitIntoCells(std::uint32_t cells);
    /// Whether members notice that a worker's process has ended because its connections are reset.
    enum class CrashKind { Reset, Silent };
    /// Crashes a worker, which ends all its runs. It restarts after `pause` with the same ID.
    void crash(const std::string &id, Milliseconds pause, CrashKind kind = CrashKind::Reset);
    /// Crashes the worker on which a deadly task runs.
    void crashUnder(const Jobs::TaskId &task, std::uint32_t attempt, const std::string &id);
    /// Changes the capacity of a worker. Members learn of it after `lag`; starts are checked against the
    /// largest one of the last seconds.
    void resize(const std::string &id, const Jobs::Resources &capacity, Milliseconds lag);
    Member &addMember(const std::string &name);
    /// Ends the process of a member without a clean shutdown.
    void kill(const std::string &name);
    void publishWorkers();
    /// Sets the quotas of workspaces. Every start is checked against the highest one of the last `overlap`.
    void setQuotas(std::vector<Jobs::WorkspaceQuota> quotas, Milliseconds overlap = {});
    /// What the workspace has running on all workers.
    Jobs::Resources runningOf(const std::string &workspace) const;
    std::size_t appendsTo(const std::string &topic) const;

    void run(Milliseconds time);

    /// Creates a job of `stages` stages with `width` tasks each. Every stage depends on the one before.
    static Jobs::JobSpec makeJob(const std::string &id, std::uint32_t stages, std::uint32_t width);
    /// Submits the job to the owner of its shard, repeatedly until it is accepted or `time` is over.
    bool submit(const Jobs::JobSpec &job, Milliseconds time = Milliseconds(5000));
    bool cancel(const std::string &job);
    /// The state as reported to callers. Empty if no owner answers.
    std::optional<JobService::ReportedState> state(const std::string &job);
    Member *owner(JobService::ShardNumber shard);
    /// The shard that the job's ID maps to.
    JobService::ShardNumber homeShardOf(const std::string &job) const;
    /// Sends a request to the owner of its shard and follows one redirection. There is no answer without an
    /// owner.
    void ask(const JobService::JobRequest &request, const std::function<void(JobService::JobReply)> &done);
    /// Whether the store has a record of the job.
    bool holdsRecordOf(const std::string &job) const;
    /// The number of current runs of the job.
    std::size_t runsOf(const std::string &job) const;
    std::size_t runsOn(const std::string &worker) const;
    /// Descriptions of the current runs of cancelled jobs.
    std::vector<std::string> runsOfCancelledJobs() const;
    /// The history of the tasks of a job, for failure messages.
    std::string describe(const std::string &job) const;

    Base::TimerService timers;
    std::map<std::string, Worker> workers;
    std::map<std::string, std::unique_ptr<Member>> members;
    std::vector<std::unique_ptr<Member>> deadMembers;
    std::vector<std::string> violations; ///< violated guarantees with the history of the task
    std::map<Jobs::TaskId, int> doneRuns; ///< acknowledged ends as done
    std::map<Jobs::TaskId, int> failedRuns; ///< acknowledged ends as failed
    std::map<Jobs::TaskId, int> startedRuns;
    std::map<Jobs::TaskId, Base::Instant> startedAt; ///< start of the first run
    std::map<Jobs::TaskId, Base::Instant> doneAt; ///< end of the first run that was done
    std::map<std::string, Jobs::JobSpec> submitted;
    std::set<std::string> cancelled; ///< jobs whose cancellation was acknowledged
    bool isStoreDown = false;
    double lateWriteShare = 0; ///< share of conditional appends that are done seconds later, without answer
    bool checksAvailability =
        false; ///< checks maxUnavailable of long-running stages; needs a test without failures
    std::set<std::string> allowedWorkers; ///< workers that the advice service allows
    int adviceQueries = 0; ///< number of queries to the advice service
    std::map<Jobs::TaskId, int> pacePercents; ///< last ordered pace, in percent
    /// A restarted worker carries out orders that were sent to it before the restart, also those that arrived
    /// while it was down.
    bool ordersOutliveRestarts = false;
    bool losesPaceOrders = false; ///< pace orders have no effect and get no answer
    std::map<Jobs::TaskId, std::int64_t> tails; ///< tail latencies of long-running tasks, ms
    std::set<Jobs::TaskId> deadlyTasks; ///< crash each worker that starts them
    Milliseconds deadlyDelay{10}; ///< from the start of such a task until the worker crashes
    Milliseconds crashPause{3000}; ///< until the machine of that worker has a worker again
    bool replacesCrashedWorkers = false; ///< that worker has another ID
    std::map<Jobs::TaskId, int> crashesUnder; ///< workers that deadly tasks have crashed
    Milliseconds taskTime{700};
    Milliseconds leaseLimit{10'000}; ///< the longest lease that workers grant
    double failureShare = 0; ///< share of runs that fail
    std::mt19937 random;
    JobService::HostSettings settings;

private:
    friend class Platform;

    struct Partition {
        Jobs::Epoch epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::string, std::string> records;
        std::uint64_t end = 0; ///< number of records appended
        std::map<std::string, std::uint64_t> offsets; ///< by key
        std::string holder;
        std::string target;
    };
    struct Membership {
        Base::Instant seenAt;
        Base::Duration lifetime{};
        std::uint64_t generation = 0;
    };

    std::int64_t clockOf(const Worker &worker) const;
    bool isReachable(const Worker &worker, const std::string &member) const;
    /// Delivers the answer of a worker, or reports a failure later if the connection is cut by then.
    void answer(const std::string &member,
                const std::string &worker,
                const std::function<void()> &deliver,
                const std::function<void()> &fail);
    void acknowledge(Worker &worker, std::uint64_t cursor);
    void advance(Worker &worker);
    void end(Worker &worker, std::size_t run, Jobs::RunEnd how);
    bool isLapsed(const Worker &worker) const;
    /// The runs of the gang's attempt on workers that are up. Empty for other tasks.
    std::vector<std::pair<Worker *, Run *>> gangOf(const Jobs::TaskId &task, std::uint32_t attempt);
    /// Ends the runs that are left.
    void breakGang(const Jobs::TaskId &task, std::uint32_t attempt);
    /// The tasks of a gang work from the moment when all of them are there.
    void startCompleteGang(const Jobs::TaskId &task, std::uint32_t attempt);
    /// Ends all tasks of the gang at once. Returns false if one of them is on a stalled worker.
    bool endGang(const Jobs::TaskId &task, std::uint32_t attempt);
    void checkStop(const Worker &worker, const Jobs::StopRun &order);
    void checkStart(const Worker &worker, const Jobs::StartRun &order);
    void checkPlacement(const Worker &worker, const Jobs::StartRun &order, const Jobs::Stage &stage);
    const Jobs::Stage *stageOf(const Jobs::TaskId &task) const;
    Jobs::Resources usedOn(const Worker &worker) const;
    /// The capacity that starts may use: of each kind the largest of the last seconds.
    Jobs::Resources boundOf(const Worker &worker) const;
    void addToHistory(const Worker &worker,
                      const Jobs::TaskId &task,
                      std::uint32_t attempt,
                      std::string_view what);
    void recordViolation(const Jobs::TaskId &task, const std::string &what);
    Jobs::RunList runListOf(const Worker &worker) const;
    void checkQuota(const Jobs::TaskId &task, const std::string &workspace);
    JobService::RunAnswer executeStart(Worker &worker, const Jobs::StartRun &order);
    JobService::RunAnswer executeStop(Worker &worker, const Jobs::StopRun &order);
    void assignShards();
    void expireMembers();
    bool isLive(const std::string &member) const;
    template<typename Handle, typename Fail>
    void order(const std::string &member, const std::string &worker, Handle handle, Fail fail);

    std::map<Jobs::TaskId, std::string> m_history;
    std::map<std::string, std::vector<JobService::KeyedRecord>> m_topics;
    std::map<std::string, std::vector<std::function<void()>>> m_tailReads; ///< waiting ones, by topic
    std::map<std::string, std::size_t> m_topicAppends;
    std::vector<Jobs::WorkspaceQuota> m_quotas;
    std::vector<std::pair<Base::Instant, std::vector<Jobs::WorkspaceQuota>>>
        m_earlierQuotas; ///< with the time until which they may be in force
    std::map<Jobs::TaskId, int> m_startsAfterCrashes; ///< of deadly tasks, after three crashes
    std::map<Jobs::TaskId, Base::Instant> m_lastStarts;
    JobService::ServiceLayout m_layout;
    std::vector<Partition> m_partitions;
    std::map<std::string, Membership> m_memberships;
    std::uint64_t m_generation = 0;
    bool m_isLate = false; ///< whether the current order is carried out late
    bool m_isFromBeforeRestart = false; ///< whether it was sent to an earlier incarnation of its worker
};
