#pragma once

#include "shape.h"

#include <base/timerservice.h>
#include <jobs/shardcommands.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Soak
{

/// A job as its caller submits it.
struct SubmittedJob {
    std::string id;
    const Queue *queue = nullptr;
    std::string workspace; ///< empty on a public route
    std::vector<Jobs::Stage> stages;
    std::vector<Milliseconds> work; ///< true duration of a task, by stage
    bool crashesWorkers = false; ///< its first task crashes each worker that starts it
};

/// Sees what callers, workers and the store see, and records each guarantee of the system that is broken.
class Observer
{
public:
    Observer(Base::TimerService &timers, const Shape &shape);

    const SubmittedJob &add(SubmittedJob job);
    /// Null if no caller has submitted the job.
    const SubmittedJob *find(std::string_view id) const;

    void accepted(const std::string &job);
    void cancelled(const std::string &job);
    /// A caller was told the state of the job; `status` is 0 without an answer.
    void shown(const std::string &job, unsigned status, std::string_view state);
    /// The same at the end of the run, when every accepted job has to be known.
    void shownAtEnd(const std::string &id, unsigned status, std::string_view state, std::string_view failure);

    /// A worker that is up has this capacity now.
    void setWorker(const std::string &worker,
                   const std::string &service,
                   const Jobs::Resources &capacity,
                   bool isDraining);
    /// All runs on the worker have ended with it; `untold` are ends that no owner was told.
    void removeWorker(const std::string &worker, const std::vector<Jobs::ListedEnd> &untold);

    void started(const std::string &worker, const Jobs::TaskId &task, std::uint32_t attempt);
    void ended(const std::string &worker, const Jobs::TaskId &task, Jobs::RunEnd end);
    void acknowledged(const Jobs::ListedEnd &end);

    /// A disruption begins that lasts this long. Rules with a time bound hold only some time after it.
    void disturb(Base::Duration time);

    /// Checks the rules on jobs without runs. To be called several times a second.
    void check();
    /// Jobs that callers may still ask for: accepted, and neither cancelled nor shown as ended.
    std::vector<const SubmittedJob *> openJobs() const;

    const std::vector<std::string> &violations() const;
    std::string summary() const;

private:
    struct Task {
        std::map<std::string, std::string> runningOn; ///< the runs by worker, as text
        bool isDone = false;
        bool isDoneForGood = false; ///< the end has been acknowledged
        std::uint32_t failures = 0;
        std::uint32_t crashes = 0; ///< workers that have crashed under it
        std::uint32_t startsAfterCrashes = 0;
        Base::Instant idleSince;
    };
    struct Job {
        SubmittedJob job;
        std::vector<std::vector<Task>> tasks; ///< by stage
        std::uint32_t running = 0;
        std::uint32_t runs = 0; ///< so far
        bool isAccepted = false;
        bool isCancelled = false;
        std::string state; ///< as last shown
        std::optional<Base::Instant> waitsSince; ///< since when all conditions of the rule hold
        bool isReported = false;
    };
    struct Worker {
        std::string service;
        Jobs::Resources capacity;
        Jobs::Resources largest; ///< capacity within the last seconds, largest of each kind
        Base::Instant shrunkAt;
        Jobs::Resources used;
        std::set<Jobs::TaskId> runs;
        bool isDraining = false;
    };
    struct ServiceUse {
        Jobs::Resources capacity;
        Jobs::Resources used;
        std::vector<Jobs::Resources> rooms;
    };

    void record(std::string_view rule, const std::string &text);
    std::string at() const;
    Task *taskOf(const Jobs::TaskId &id);
    bool isCalm() const;
    bool isReady(const Job &job, std::size_t stage) const;
    std::map<std::string, ServiceUse, std::less<>> serviceUse() const;
    static bool hasRoomTwice(const ServiceUse &use, const Jobs::Resources &size);
    bool isUnderHalfOfQuota(const std::string &workspace) const;
    void checkStart(const std::string &worker, const Jobs::TaskId &id, std::uint32_t attempt);
    /// That the queue and the stage allow a start on the worker.
    void checkRoute(const std::string &what, const Worker &worker, const Jobs::TaskId &id);
    static bool mayBeGivenUp(const Job &job);
    void checkWaiting(Job &job, const std::map<std::string, ServiceUse, std::less<>> &services);
    void checkLongRunning(Job &job, const ServiceUse &use);

    Base::TimerService &m_timers;
    Base::Instant m_startedAt;
    Base::Instant m_calmSince;
    std::map<std::string, Job, std::less<>> m_jobs;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, Jobs::Resources, std::less<>> m_usedByWorkspace;
    std::map<std::string, Jobs::Resources, std::less<>> m_quotas;
    std::vector<std::string> m_violations;
    std::map<std::string, std::uint64_t, std::less<>> m_counts; ///< of violations, by rule
    std::uint64_t m_starts = 0;
    std::map<Jobs::RunEnd, std::uint64_t> m_ends;
    std::uint64_t m_lostRuns = 0; ///< with their worker
};

} // namespace Soak
