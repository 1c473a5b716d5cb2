#include "loadgenerator.h"
#include "plane.h"
#include "targetprocesses.h"

#include <base/logline.h>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <sys/resource.h>

namespace
{

constexpr const char *Usage =
    R"(Measures the request plane against a relay without a policy and against the targets themselves, in turn.

Usage:
  bench_gateway [--connections=LIST] [--requests=N] [--rounds=N] [--targets=N] [--entry=ADDRESS] [--entry-path=PATH]
  bench_gateway --help

Options:
  --connections=LIST  callers' connections, separated by commas [default: 1,64,1000]
  --requests=N        requests of one run [default: 40000]
  --rounds=N          runs of each subject; the median counts [default: 5]
  --targets=N         target processes [default: 4]
  --entry=ADDRESS     IP:PORT of a daemon that is measured too
  --entry-path=PATH   what it is asked for [default: /preview]
)";

constexpr std::chrono::seconds RunTimeLimit{30};
constexpr std::uint64_t WarmUpShare = 10; // one warm-up request for so many measured ones

struct Subject {
    std::string name;
    std::vector<Bench::Address> addresses;
    std::string path;
    bool isInProcess = false;
};

struct Sample {
    Bench::LoadResult load;
    double planeCpu = 0; // microseconds of a request on the plane's threads
};

double processCpuSeconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &it) {
        return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::string loadAverage()
{
    std::array<double, 1> average{};
    ::getloadavg(average.data(), static_cast<int>(average.size()));
    return fmt::format("{:.2f}", average[0]);
}

Sample measure(const Subject &subject, std::size_t connections, std::uint64_t requests)
{
    Bench::LoadPlan plan{subject.addresses, subject.path, connections, requests, RunTimeLimit};
    plan.requests = std::max<std::uint64_t>(requests / WarmUpShare, connections);
    Bench::runLoad(plan);
    plan.requests = requests;
    const double before = processCpuSeconds();
    Sample sample;
    sample.load = Bench::runLoad(plan);
    const double spent = processCpuSeconds() - before - sample.load.loadCpuSeconds;
    sample.planeCpu = subject.isInProcess ? spent * 1e6 / static_cast<double>(requests) : 0;
    return sample;
}

template<typename Value>
double median(std::vector<Sample> &samples, Value value)
{
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
    std::nth_element(samples.begin(), middle, samples.end(), [&](const Sample &a, const Sample &b) {
        return value(a) < value(b);
    });
    return value(*middle);
}

void report(const Subject &subject, std::size_t connections, std::vector<Sample> &samples)
{
    std::uint64_t failed = 0;
    for (const auto &it : samples) {
        failed += it.load.failed;
    }
    fmt::print("{:<10} {:>11} {:>10.0f} {:>8.0f} {:>8.0f} {:>8.0f} {:>9.2f} {:>7}\n",
               subject.name,
               connections,
               median(samples, [](const Sample &it) { return it.load.perSecond(); }),
               median(samples, [](const Sample &it) { return it.load.p50; }),
               median(samples, [](const Sample &it) { return it.load.p99; }),
               median(samples, [](const Sample &it) { return it.load.p999; }),
               median(samples, [](const Sample &it) { return it.planeCpu; }),
               failed);
}

// Pairs of one round stood under much the same load of the machine, so that their ratio says more than the
// ratio of two medians.
template<typename Value>
double medianRatio(const std::vector<Sample> &above, const std::vector<Sample> &below, Value value)
{
    std::vector<double> ratios;
    for (std::size_t n = 0; n < above.size(); ++n) {
        ratios.push_back(value(above[n]) / value(below[n]));
    }
    std::sort(ratios.begin(), ratios.end());
    return ratios[ratios.size() / 2];
}

void reportRatios(std::size_t connections, const std::vector<Sample> &ours, const std::vector<Sample> &naive)
{
    fmt::print(
        "scheduled to naive, {} connections, median of the rounds' ratios: throughput {:.3f}, p99 {:.3f}, "
        "cpu {:.3f}\n",
        connections,
        medianRatio(ours, naive, [](const Sample &it) { return it.load.perSecond(); }),
        medianRatio(ours, naive, [](const Sample &it) { return it.load.p99; }),
        medianRatio(ours, naive, [](const Sample &it) { return it.planeCpu; }));
}

/// Measures every subject in every round; each round begins with another subject.
void compare(const std::vector<Subject> &subjects,
             std::size_t connections,
             std::uint64_t requests,
             std::size_t rounds)
{
    std::vector<std::vector<Sample>> samples(subjects.size());
    for (std::size_t round = 0; round < rounds; ++round) {
        for (std::size_t n = 0; n < subjects.size(); ++n) {
            const std::size_t which = (round + n) % subjects.size();
            samples[which].push_back(measure(subjects[which], connections, requests));
        }
    }
    reportRatios(connections, samples[2], samples[1]);
    for (std::size_t n = 0; n < subjects.size(); ++n) {
        report(subjects[n], connections, samples[n]);
    }
    std::fflush(stdout);
}

std::vector<std::size_t> numbersOf(const std::string &list)
{
    std::vector<std::size_t> numbers;
    std::istringstream stream(list);
    for (std::string it; std::getline(stream, it, ',');) {
        numbers.push_back(std::stoul(it));
    }
    return numbers;
}

void run(std::map<std::string, docopt::value> &arguments)
{
    Base::LogLine::setThreshold(Base::LogLevel::Warning); // sampled spans are logged as information
    const auto requests = static_cast<std::uint64_t>(arguments["--requests"].asLong());
    const auto rounds = static_cast<std::size_t>(arguments["--rounds"].asLong());
    const Bench::TargetProcesses targets(static_cast<std::size_t>(arguments["--targets"].asLong()));
    const auto naive = Bench::naivePlane(targets.addresses());
    const auto scheduled = Bench::scheduledPlane(targets.addresses());
    std::vector<Subject> subjects{{"direct", targets.addresses(), Bench::RoutedPath, false},
                                  {"naive", {naive->address()}, Bench::RoutedPath, true},
                                  {"scheduled", {scheduled->address()}, Bench::RoutedPath, true}};
    if (arguments["--entry"]) {
        const std::string entry = arguments["--entry"].asString();
        const auto colon = entry.rfind(':');
        const Bench::Address address{entry.substr(0, colon),
                                     static_cast<std::uint16_t>(std::stoul(entry.substr(colon + 1)))};
        subjects.push_back({"daemon", {address}, arguments["--entry-path"].asString(), false});
    }
    fmt::print("{} requests a run, median of {} rounds, {} target processes, load average {}\n",
               requests,
               rounds,
               targets.addresses().size(),
               loadAverage());
    fmt::print("{:<10} {:>11} {:>10} {:>8} {:>8} {:>8} {:>9} {:>7}\n",
               "subject",
               "connections",
               "requests/s",
               "p50 us",
               "p99 us",
               "p99.9 us",
               "cpu us/rq",
               "failed");
    for (const std::size_t it : numbersOf(arguments["--connections"].asString())) {
        compare(subjects, it, requests, rounds);
    }
    fmt::print("load average at the end {}\n", loadAverage());
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
        run(arguments);
    } catch (const std::exception &error) {
        fmt::print(stderr, "level=error event=failed error=\"{}\"\n", error.what());
        return 1;
    }
    return 0;
}
