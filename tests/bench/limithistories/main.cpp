#include "limithistory.h"

#include <base/logline.h>

#include <fmt/format.h>

#include <string>
#include <vector>

namespace
{

std::string firstLineOf(const std::string &text)
{
    return text.substr(0, text.find('\n'));
}

} // namespace

// Arguments: the first seed, the last one, "today" or "two" builds, and "all" for each violation with its
// history, a job for its history, or "log" for the log of all members.
int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto argument = [&arguments](std::size_t n, const char *otherwise) {
        return n < arguments.size() ? arguments[n] : otherwise;
    };
    const auto first = static_cast<std::uint32_t>(std::stoul(argument(0, "1")));
    const auto last = static_cast<std::uint32_t>(std::stoul(argument(1, "150")));
    const bool hasTwoBuilds = argument(2, "today") == "two";
    const std::string detail = argument(3, "");
    Base::LogLine::setThreshold(detail == "log" ? Base::LogLevel::Info : Base::LogLevel::Error);
    std::size_t badHistories = 0;
    std::size_t jobs = 0;
    std::size_t failedJobs = 0;
    std::size_t starts = 0;
    for (std::uint32_t seed = first; seed <= last; ++seed) {
        LimitHistory play(seed, hasTwoBuilds ? FaultHistory::Builds::Two : FaultHistory::Builds::Today);
        const auto found = play.play();
        badHistories += found.empty() ? 0 : 1;
        jobs += play.history.world.submitted.size();
        failedJobs += play.history.failed.size();
        for (const auto &[task, n] : play.history.world.startedRuns) {
            starts += static_cast<std::size_t>(n);
        }
        if (play.history.world.submitted.count(detail) > 0) {
            fmt::print("{}\n", play.history.world.describe(detail));
        }
        for (const std::string &it : found) {
            fmt::print("{}\n", detail.empty() ? firstLineOf(it) : it);
        }
    }
    fmt::print("{} of {} histories with violations; {} jobs, {} failed; {} starts\n",
               badHistories,
               last - first + 1,
               jobs,
               failedJobs,
               starts);
}
