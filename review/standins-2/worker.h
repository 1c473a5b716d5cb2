#pragma once

#include "../../tests/soak/store.h"
#include "world.h"

#include <base/oneshottimer.h>
#include <http/server.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Review
{

/// Stands in for a worker in one of its lives.
class Worker
{
public:
    struct Place {
        std::string id;
        std::string machine;
        std::string service;
        std::string rack;
        std::int64_t milliCores = 16'000;
        std::int64_t memory = 32'768;
    };

    Worker(boost::asio::io_context &context,
           Base::TimerService &timers,
           Soak::Store &store,
           World &world,
           Place place);
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;
    /// Ends all that runs, as when the machine loses power.
    ~Worker();

    const Place &place() const;
    bool isIdle() const;

private:
    struct Run {
        std::uint32_t attempt = 0;
        Base::Instant startedAt;
        Base::TimerId timer{};
    };
    struct End {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t attempt = 0;
        std::string how;
    };

    void handle(const Http::Request &request, const Http::Responder &respond);
    void start(std::string_view body, const Http::Responder &respond);
    void stop(std::string_view body, const Http::Responder &respond);
    void hold(std::string_view body, const Http::Responder &respond);
    bool isFenced(std::uint64_t token);
    void extendLease(std::int64_t deadline);
    void checkLease();
    void end(const std::string &task, const std::string &how);
    /// Lets a member of a gang work once all are there.
    void awaitGang(const std::string &task);
    void answer(const Http::Responder &respond, unsigned status, std::string_view reason = {}) const;
    std::string lists() const;
    std::int64_t clock() const;
    bool hasRoom(const Step &step) const;
    void beat();

    Base::TimerService &m_timers;
    Soak::Store &m_store;
    World &m_world;
    Place m_place;
    Base::Instant m_startedAt;
    std::int64_t m_born = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_deadline = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_lapsedEnd = 0;
    std::uint64_t m_beats = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint32_t> m_highest; ///< attempts that were stopped or have ended
    std::vector<End> m_ends;
    std::map<std::uint64_t, Http::Responder> m_waiters;
    std::uint64_t m_lastWaiter = 0;
    Base::OneShotTimer m_leaseTimer;
    Base::OneShotTimer m_beatTimer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Http::Server m_server;
};

} // namespace Review
