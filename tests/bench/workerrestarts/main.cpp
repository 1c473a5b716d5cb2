#include "restarthistory.h"

#include <base/logline.h>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using Orders = RestartHistory::Orders;
using Cuts = RestartHistory::Cuts;
using Builds = FaultHistory::Builds;

struct Variant {
    std::string_view name;
    Orders orders = Orders::Prompt;
    Cuts cuts = Cuts::BothWays;
    Builds builds = Builds::Today;
};

constexpr Variant Variants[]{
    {"prompt"},
    {"late", Orders::Late},
    {"two builds", Orders::Prompt, Cuts::BothWays, Builds::Two},
    {"one way", Orders::Prompt, Cuts::OneWay},
};

struct Kind {
    int violations = 0;
    std::string first;
};

std::string kindOf(const std::string &violation)
{
    for (const std::string_view it :
         {"two runs", "after its end was acknowledged", "after its end, which", "is not done"}) {
        if (violation.find(it) < violation.find('\n')) {
            return std::string(it);
        }
    }
    return "other";
}

// When the last task of each job that has not failed was done, after the job was submitted.
void addTimes(const RestartHistory &play, std::uint32_t seed, std::vector<double> &times, bool printsJobs)
{
    for (const auto &[job, since] : play.submittedAt) {
        if (play.history.failed.count(job) > 0) {
            continue;
        }
        double time = 0;
        for (const auto &[task, end] : play.history.world.doneAt) {
            if (task.job == job) {
                time = std::max(time, std::chrono::duration<double>(end - since).count());
            }
        }
        times.push_back(time);
        if (printsJobs) {
            fmt::print("job {}.{} {:.3f}\n", seed, job, time);
        }
    }
}

void measure(const Variant &variant,
             std::uint32_t firstSeed,
             std::uint32_t lastSeed,
             const std::string &detail)
{
    std::map<std::string, Kind> kinds;
    std::vector<double> times;
    std::size_t failedJobs = 0;
    std::size_t badHistories = 0;
    for (std::uint32_t seed = firstSeed; seed <= lastSeed; ++seed) {
        RestartHistory play(seed, variant.orders, variant.cuts, variant.builds);
        const auto found = play.play();
        badHistories += found.empty() ? 0 : 1;
        failedJobs += play.history.failed.size();
        for (const std::string &it : found) {
            if (detail == "all") {
                fmt::print("{}\n", it);
            }
            Kind &kind = kinds[kindOf(it)];
            if (kind.violations++ == 0) {
                kind.first = it;
            }
        }
        addTimes(play, seed, times, detail == "jobs");
    }
    std::sort(times.begin(), times.end());
    const auto share = [&times](double part) {
        return times.at(std::size_t(part * double(times.size() - 1)));
    };
    fmt::print(
        "{}: {} of {} histories with violations; {} jobs, {} failed; job times {:.1f} s, {:.1f} s, {:.1f} s "
        "(0.5, 0.9, 0.99)\n",
        variant.name,
        badHistories,
        lastSeed - firstSeed + 1,
        times.size(),
        failedJobs,
        share(0.5),
        share(0.9),
        share(0.99));
    for (const auto &[name, kind] : kinds) {
        fmt::print("  {} of: {}\n  the first one: {}\n", kind.violations, name, kind.first);
    }
}

} // namespace

// Arguments: the first seed, the last one, a variant, and "jobs" for the time of each job, "all" for each
// violation, or "log" for the log of all members.
int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto argument = [&arguments](std::size_t n, const char *otherwise) {
        return n < arguments.size() ? arguments[n] : otherwise;
    };
    const auto first = static_cast<std::uint32_t>(std::stoul(argument(0, "1")));
    const auto last = static_cast<std::uint32_t>(std::stoul(argument(1, "150")));
    const std::string detail = argument(3, "");
    Base::LogLine::setThreshold(detail == "log" ? Base::LogLevel::Info : Base::LogLevel::Error);
    for (const Variant &it : Variants) {
        if (it.name == argument(2, std::string(it.name).c_str())) {
            measure(it, first, last, detail);
        }
    }
}
