#pragma once

#include <base/timerservice.h>
#include <jobservice/servicelayout.h>
#include <jobservice/shardhost.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// A platform in virtual time: a store with memberships, workers that run tasks under leases, and links that
/// fail on request. Notes every broken promise that workers or callers could see.
class JobWorld
{
public:
    using Milliseconds = std::chrono::milliseconds;

    explicit JobWorld(std::uint32_t seed = 1, std::uint32_t shards = 1);

    struct Run {
        Jobs::TaskId task;
        std::uint32_t attempt = 0;
        Base::Instant endsAt;
        bool fails = false;
    };

    class Worker
    {
    public:
        Jobs::WorkerInfo info;
        bool isUp = true;
        bool enforcesCapacity = true; ///< refuses what doesn't fit
        double clockRate = 1; ///< of its clock against true time
        std::set<std::string> cutFrom; ///< members that can't reach it
        Milliseconds delay{1}; ///< one way
        double lateShare = 0; ///< of the orders that are carried out late and not answered
        bool failsAll = false;
        bool isStalled = false; ///< its runs make no progress

    private:
        friend class JobWorld;
        Base::Instant m_startedAt;
        Jobs::OrderToken m_token = 0;
        std::int64_t m_leaseEnd = 0;
        std::vector<Run> m_runs;
        std::vector<Jobs::ListedEnd> m_ends;
        std::uint64_t m_lastEnd = 0;
        std::uint64_t m_lapsedEnds = 0; ///< ends up to here stood unacknowledged while the lease lapsed
        std::map<Jobs::TaskId, std::uint32_t> m_highestAttempts; ///< attempts that ended or were stopped
        std::vector<std::function<void()>> m_pendingRenewals; ///< leases that wait for an end
        std::vector<std::pair<std::string, std::function<void()>>>
            m_openCalls; ///< calls without answer, by member
    };

    /// What one member does with the platform; the ports of JobService::ShardHost.
    class Platform
    {
    public:
        Platform(JobWorld &world, std::string member);

        void takeShard(JobService::ShardNumber shard,
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
        void askAdvice(const Jobs::AskAdvice &question, const JobService::AdviceCallback &done);
        void renewMembership(const JobService::MembershipRenewal &renewal,
                             const JobService::GrantCallback &done);
        void leaveMembership(const std::function<void()> &done);
        void endMembership(const std::string &member, const std::function<void()> &done);
        void readOwners(const JobService::OwnersCallback &done);

        bool isStoreDown = false; ///< for this member
        bool losesAnswers = false; ///< of the store, after the effect

    private:
        JobWorld &m_world;
        std::string m_member;
    };

    /// A member of the system.
    struct Member {
        Member(JobWorld &world, const std::string &name);
        std::string name;
        bool isAlive = true;
        Platform platform;
        JobService::ShardHost<Platform> host;
    };

    Worker &addWorker(const std::string &id, std::int64_t milliCores = 8000);
    /// Divides the service "sign" into cells, which are the first shards.
    void divide(std::uint32_t cells);
    /// Ends all its runs; it starts anew after `pause` under the same id.
    void crash(const std::string &id, Milliseconds pause);
    Member &addMember(const std::string &name);
    /// The process ends without a word.
    void kill(const std::string &name);
    void publishWorkers();

    void run(Milliseconds time);

    /// A job of `stages` stages, each of `width` tasks that depends on the one before.
    static Jobs::JobSpec makeJob(const std::string &id, std::uint32_t stages, std::uint32_t width);
    /// Hands the job in at a member that owns its shard, again until it is accepted or `time` is over.
    bool submit(const Jobs::JobSpec &job, Milliseconds time = Milliseconds(5000));
    bool cancel(const std::string &job);
    /// As callers see it; nothing when nobody can tell.
    std::optional<JobService::ShownState> state(const std::string &job);
    Member *owner(JobService::ShardNumber shard);
    /// The shard that the job's ID leads to.
    JobService::ShardNumber homeOf(const std::string &job) const;
    /// Asks the owner of the request's shard, and the one that it names instead; no answer without an owner.
    void ask(const JobService::JobRequest &request, const std::function<void(JobService::JobReply)> &done);
    /// The store has a record whose key names the job.
    bool holdsRecordOf(const std::string &job) const;
    /// How many tasks of the job run now.
    std::size_t runsOf(const std::string &job) const;
    std::size_t runsOn(const std::string &worker) const;
    /// Runs of cancelled jobs.
    std::vector<std::string> runsOfCancelledJobs() const;
    /// What happened to the tasks of a job, for messages.
    std::string describe(const std::string &job) const;

    Base::TimerService timers;
    std::map<std::string, Worker> workers;
    std::map<std::string, std::unique_ptr<Member>> members;
    std::vector<std::unique_ptr<Member>> deadMembers;
    std::vector<std::string> broken; ///< promises that were, with what happened to the task
    std::map<Jobs::TaskId, int> doneRuns; ///< ends as done that were acknowledged
    std::map<Jobs::TaskId, int> failedRuns; ///< the same of ends as failed
    std::map<Jobs::TaskId, int> startedRuns;
    std::map<Jobs::TaskId, Base::Instant> startedAt; ///< the first run
    std::map<std::string, Jobs::JobSpec> submitted;
    std::set<std::string> cancelled; ///< with the cancel acknowledged
    bool isStoreDown = false;
    bool checksAvailability =
        false; ///< of long-running stages, where nothing but the system takes tasks away
    std::set<std::string> advised; ///< workers that the queues' policy allows
    int questions = 0; ///< asked of that policy
    std::map<Jobs::TaskId, int> paces; ///< percent that runs were told last
    bool losesPaceOrders = false; ///< orders of pace have neither effect nor answer
    std::map<Jobs::TaskId, std::int64_t> tails; ///< ms, of long-running tasks
    Milliseconds taskTime{700};
    double failureShare = 0; ///< of runs
    std::mt19937 random;
    JobService::HostSettings settings;

private:
    friend class Platform;

    struct Partition {
        Jobs::Epoch epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::string, std::string> records;
        std::string holder;
        std::string target;
    };
    struct Membership {
        Base::Instant seenAt;
        Base::Duration lifetime{};
        std::uint64_t generation = 0;
    };

    std::int64_t clockOf(const Worker &worker) const;
    void advance(Worker &worker);
    void end(Worker &worker, std::size_t run, Jobs::RunEnd how);
    void checkStop(const Worker &worker, const Jobs::StopRun &order);
    void checkStart(const Worker &worker, const Jobs::StartRun &order);
    void checkPlacement(const Worker &worker, const Jobs::StartRun &order, const Jobs::Stage &stage);
    const Jobs::Stage *stageOf(const Jobs::TaskId &task) const;
    Jobs::Resources usedOn(const Worker &worker) const;
    void addToHistory(const Worker &worker,
                      const Jobs::TaskId &task,
                      std::uint32_t attempt,
                      std::string_view what);
    void recordViolation(const Jobs::TaskId &task, const std::string &what);
    Jobs::RunList runListOf(const Worker &worker) const;
    JobService::RunAnswer executeStart(Worker &worker, const Jobs::StartRun &order);
    JobService::RunAnswer executeStop(Worker &worker, const Jobs::StopRun &order);
    void assignShards();
    void expireMembers();
    bool isLive(const std::string &member) const;
    template<typename Handle, typename Fail>
    void order(const std::string &member, const std::string &worker, Handle handle, Fail fail);

    std::map<Jobs::TaskId, std::string> m_history;
    std::set<Jobs::TaskId> m_ended; ///< as done, at least once
    JobService::ServiceLayout m_layout;
    std::vector<Partition> m_partitions;
    std::map<std::string, Membership> m_memberships;
    std::uint64_t m_generation = 0;
    bool m_isLate = false; ///< the order being carried out
};
