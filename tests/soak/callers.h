#pragma once

#include "observer.h"

#include <http/client.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Soak
{

/// Where callers find a member.
struct Entry {
    std::string zone;
    Ini::Endpoint callers;
    Ini::Endpoint readiness;
};

/// Independent callers: they submit jobs at the rates of the shape, ask for them until they have ended,
/// cancel some, and retry as the answers tell them.
class Callers
{
public:
    Callers(boost::asio::io_context &context,
            Base::TimerService &timers,
            Observer &observer,
            const Shape &shape,
            std::vector<Entry> entries,
            std::uint32_t seed);

    /// Whether every member has said that it is ready.
    bool areAllReady() const;
    void submitLongRunningJobs();
    /// Submits jobs for this time.
    void start(Base::Duration time);
    /// Multiplies the load of one workspace.
    void setHotWorkspace(std::size_t workspace, double factor);
    /// Lets this share of the jobs of the queue crash each worker that starts their first task.
    void setDeadlyShare(std::string queue, double share);
    /// Asks for every open job and calls back when all have been answered or given up.
    void askForAll(const std::function<void()> &done);

    std::uint64_t submitted() const;
    std::uint64_t refused() const;

private:
    struct Member {
        Entry entry;
        int misses = 0;
        bool wasReady = false;
        bool isReady() const
        {
            return wasReady && misses < 2;
        }
    };

    void pollReadiness();
    const Member &chooseMember(const std::string &zone);
    void scheduleArrival(const Queue &queue);
    double rate(const Queue &queue) const;
    SubmittedJob drawJob(const Queue &queue);
    std::string drawWorkspace();
    void submit(const SubmittedJob &job, const std::string &zone, int attempt);
    void poll(const std::string &job, const std::string &zone);
    void cancel(const std::string &job, const std::string &zone, int attempt);
    void call(std::string method,
              const SubmittedJob &job,
              const std::string &zone,
              std::string body,
              std::function<void(unsigned status, const Http::Outcome &)> done);

    Base::TimerService &m_timers;
    Observer &m_observer;
    const Shape &m_shape;
    Http::Client m_client;
    std::vector<Member> m_members;
    std::mt19937 m_random;
    Base::Instant m_startedAt;
    Base::Instant m_endsAt;
    std::size_t m_hotWorkspace = 0;
    double m_hotFactor = 1;
    std::string m_deadlyQueue;
    double m_deadlyShare = 0;
    std::uint64_t m_submitted = 0;
    std::uint64_t m_refused = 0;
};

} // namespace Soak
