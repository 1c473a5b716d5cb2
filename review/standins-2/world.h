#pragma once

#include <base/instant.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Review
{

using Milliseconds = std::chrono::milliseconds;

/// A step of a job as a client submits it, and how long its tasks work.
struct Step {
    std::uint32_t count = 1;
    std::int64_t milliCores = 1000;
    std::int64_t memory = 64; ///< MB
    Milliseconds work{1000};
    bool isLongRunning = false;
    bool isGang = false;
    std::vector<std::uint32_t> dependsOn{};
    std::uint32_t perWorker = 0; ///< AntiAffinity
};

struct Job {
    std::string id;
    std::vector<Step> steps;
    bool needsTickets = false; ///< whether its queue has a policy of its own
};

// Of the service that knows the policies of queues.
constexpr Milliseconds DecideTime{50};
constexpr Milliseconds PeriodTime{5}; ///< for each worker
constexpr Milliseconds TicketTime{3000};

/// What clients, workers and the platform have sent and seen. Written to the record of the case, and checked
/// against the rules. May be used from any thread.
class World
{
public:
    explicit World(const std::filesystem::path &record);

    void note(std::string_view text);
    /// Notes that a rule is broken.
    void broken(std::string_view rule, std::string_view what);
    bool isBroken() const;
    /// Since the start, in seconds.
    double now() const;

    void add(const Job &job);
    /// The step of a task that a client has submitted, if there is one.
    std::optional<Step> stepOf(std::string_view task) const;

    std::string issueTicket(const std::string &step, const std::string &worker);
    /// Whether the worker may start the task with this ticket.
    bool isTicketValid(const std::string &task, const std::string &worker, const std::string &ticket) const;

    void started(const std::string &worker, const std::string &task, std::uint32_t attempt);
    void
    ended(const std::string &worker, const std::string &task, std::uint32_t attempt, std::string_view how);
    /// The worker was told that this end is taken note of.
    void acknowledged(const std::string &task, std::string_view how);

    /// The number of tasks that are at work of the step that the task belongs to.
    std::size_t runningBeside(const std::string &task) const;
    /// The number of tasks of the job that are at work.
    std::size_t running(std::string_view job) const;
    /// The number of tasks of the job that have ended done.
    std::size_t done(std::string_view job) const;
    /// The number of runs of the job that have ended in that way.
    std::size_t ends(std::string_view job, std::string_view how) const;
    /// Of all tasks that are at work.
    std::int64_t usedMilliCores() const;

private:
    std::optional<Step> findStep(std::string_view task) const;
    void write(std::string_view text);

    mutable std::mutex m_mutex;
    std::ofstream m_record;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::map<std::string, Job, std::less<>> m_jobs;
    std::map<std::string, std::map<std::string, std::uint32_t>> m_running; ///< by task, attempts by worker
    std::map<std::string, std::size_t> m_done; ///< ends by task
    std::map<std::string, bool> m_isAcknowledged; ///< tasks whose end `done` has been acknowledged
    std::map<std::pair<std::string, std::string>, std::size_t> m_ends; ///< by job and kind
    std::map<std::string, double> m_tickets; ///< the time until which each is valid, in seconds
    bool m_isBroken = false;
};

/// The ID of the job that the task belongs to.
std::string jobOf(std::string_view task);

} // namespace Review
