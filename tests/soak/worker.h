#pragma once

#include "door.h"
#include "observer.h"
#include "store.h"

#include <base/oneshottimer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Soak
{

/// What workers share.
struct WorkerSurroundings {
    boost::asio::io_context &context;
    Base::TimerService &timers;
    Store &store;
    Observer &observer;
    std::mt19937 &random;
};

/// Stands in for one incarnation of a worker: runs tasks under leases and lists their ends.
class Worker
{
public:
    struct Place {
        std::string id;
        std::string machine;
        std::string service;
        std::string zone;
        std::string rack;
        Jobs::Resources capacity;
        bool enforcesCapacity = true;
    };
    /// Called when a task has crashed the worker, from outside of it.
    using Crashed = std::function<void(const std::string &id)>;

    /// It takes calls from now on and writes its entry after the time.
    Worker(const WorkerSurroundings &surroundings,
           Place place,
           Crashed crashed,
           std::shared_ptr<Door> door,
           Base::Duration registersAfter);
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;
    /// Ends all runs, as when the machine loses power.
    ~Worker();

    const Place &place() const;
    const std::shared_ptr<Door> &door() const;
    /// When it last wrote its entry.
    Base::Instant beatAt() const;
    void setCapacity(const Jobs::Resources &capacity);
    /// While it fails, all that it starts ends as failed.
    void setFailing(bool isFailing);
    /// While it is slow, orders are answered after this time.
    void setDelay(Base::Duration delay);
    /// While it is cut off, no call and no entry gets through; its tasks run on.
    void setCutOff(bool isCutOff);

private:
    struct Run {
        std::uint32_t attempt = 0;
        Base::Instant startedAt;
        Milliseconds savedBefore{}; ///< work that the checkpoint contained
        Milliseconds work{};
        bool isLongRunning = false;
        bool canCheckpoint = false;
        Base::TimerId timer;
    };
    struct Waiter {
        std::uint64_t id = 0;
        Http::Responder respond;
    };

    void handle(const Http::Request &request, const Http::Responder &respond);
    void start(const std::string &body, const Http::Responder &respond);
    void stop(const std::string &body, const Http::Responder &respond);
    void hold(const std::string &body, const Http::Responder &respond);
    bool raiseToken(std::uint64_t token);
    void extendLease(std::int64_t deadline);
    void checkLease();
    void end(const Jobs::TaskId &task, Jobs::RunEnd how);
    Milliseconds saved(const Run &run) const;
    std::string checkpointOf(const Run &run) const;
    std::int64_t clock() const;
    void respondWith(const Http::Responder &respond, unsigned status, std::string_view reason);
    std::string lists();
    void beat();
    bool hasRoomFor(const Jobs::TaskId &task) const;

    WorkerSurroundings m_surroundings;
    Place m_place;
    Crashed m_onCrash;
    Base::Instant m_startedAt;
    std::int64_t m_born = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_deadline = 0; ///< of the lease, on the worker's clock
    std::map<Jobs::TaskId, Run> m_runs;
    std::map<Jobs::TaskId, std::uint32_t> m_endedAttempts; ///< highest by task
    std::vector<Jobs::ListedEnd> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_listedEnd = 0; ///< the last one that an owner was told
    std::uint64_t m_lapsedEnd = 0; ///< the last one when the lease ended; tasks up to it may run again
    std::vector<Waiter> m_waiters;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_beats = 0;
    Base::Instant m_beatAt;
    Base::Duration m_delay{};
    bool m_isFailing = false;
    bool m_isCutOff = false;
    Base::OneShotTimer m_leaseTimer;
    Base::OneShotTimer m_beatTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::shared_ptr<Door> m_door;
};

} // namespace Soak
