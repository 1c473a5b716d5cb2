#include <jobsimulation.h>

#include <fmt/format.h>

#include <array>
#include <ctime>
#include <string_view>

namespace
{

constexpr std::uint64_t Seeds = 50;

void runHistories(std::string_view name, const JobPlanner &planner)
{
    JobOutcome sum;
    int worstUrgent = 0;
    int lastEnd = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const JobOutcome it = simulateJobs(seed, planner);
        sum.submitted += it.submitted;
        sum.completed += it.completed;
        sum.failed += it.failed;
        sum.lost += it.lost;
        sum.cancelled += it.cancelled;
        sum.refused += it.refused;
        sum.open += it.open;
        sum.unsafeRestarts += it.unsafeRestarts;
        sum.falseNotRun += it.falseNotRun;
        sum.attempts += it.attempts;
        sum.blockedUrgent += it.blockedUrgent;
        worstUrgent = std::max(worstUrgent, it.maxUrgentStartMilliseconds);
        lastEnd = std::max(lastEnd, it.lastEnd);
    }
    fmt::print("{:24} {:9} {:9} {:6} {:5} {:9} {:7} {:5} {:8} {:7} {:7} {:7} {:9.1f} {:8}\n",
               name,
               sum.submitted,
               sum.completed,
               sum.failed,
               sum.lost,
               sum.cancelled,
               sum.refused,
               sum.open,
               sum.attempts,
               sum.unsafeRestarts,
               sum.falseNotRun,
               sum.blockedUrgent,
               worstUrgent / 1000.0,
               lastEnd);
}

double processorMilliseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

struct QueueSize {
    std::size_t workers = 0;
    std::size_t waiting = 0;
    std::size_t teams = 0;
};

/// The first pass starts what fits, the second finds the workers full: both are measured.
void measurePass(const QueueSize &size)
{
    Policy::JobTable table;
    Policy::JobObservations seen;
    for (std::size_t n = 0; n < size.workers; ++n) {
        seen.workers.push_back({{fmt::format("w{:05}", n)}, true, {32, 64, 0}, {32, 64, 0}});
    }
    for (std::size_t n = 0; n < size.teams; ++n) {
        seen.quotas.push_back({{fmt::format("t{:03}", n)}, 200});
    }
    for (std::size_t n = 0; n < size.waiting; ++n) {
        Policy::JobSpec spec;
        spec.id = {fmt::format("j{:06}", n)};
        spec.team = {fmt::format("t{:03}", n % size.teams)};
        spec.kind = {"k"};
        spec.declared = {static_cast<double>(1 + n % 7), static_cast<double>(1 + n % 11), 0};
        table.apply(Policy::JobAccepted{spec});
    }
    Policy::JobMemory memory;
    std::array<double, 2> spent{};
    for (double &it : spent) {
        const double from = processorMilliseconds();
        Policy::JobPlanResult pass = Policy::planJobs(table, seen, memory);
        it = processorMilliseconds() - from;
        memory = std::move(pass.memory);
        for (const Policy::JobEvent &event : pass.events) {
            table.apply(event);
        }
    }
    fmt::print("{:7} {:8} {:6} {:14.2f} {:15.2f}\n",
               size.workers,
               size.waiting,
               size.teams,
               spent.front(),
               spent.back());
}

} // namespace

int main()
{
    fmt::print(
        "{} seeds, 12 workers of which one fails all, 300 jobs, 2 h in virtual time, one pass a second\n",
        Seeds);
    fmt::print("{:24} {:>9} {:>9} {:>6} {:>5} {:>9} {:>7} {:>5} {:>8} {:>7} {:>7} {:>7} {:>9} {:>8}\n",
               "planner",
               "submitted",
               "completed",
               "failed",
               "lost",
               "cancelled",
               "refused",
               "open",
               "attempts",
               "doubled",
               "untrue",
               "blocked",
               "urgent s",
               "last end");
    runHistories("policy", Policy::planJobs);
    runHistories("first come first served", planFirstComeFirstServed);

    constexpr std::array<QueueSize, 4> Sizes{
        {{17, 100, 6}, {53, 1000, 120}, {579, 1000, 120}, {579, 10000, 120}}};
    fmt::print(
        "\n{:>7} {:>8} {:>6} {:>14} {:>15}\n", "workers", "waiting", "teams", "starting ms", "full ms");
    for (const QueueSize &it : Sizes) {
        measurePass(it);
    }
    return 0;
}
