#include <wavesimulation.h>

#include <policy/waveplanner.h>

#include <fmt/format.h>

#include <array>
#include <random>
#include <string_view>

namespace
{

constexpr std::uint64_t Seeds = 40;
constexpr std::size_t Instances = 24;
constexpr std::size_t Trials = 20000;

void runWaves(std::string_view title, const WaveFaults &faults)
{
    fmt::print("\n{}\n", title);
    const std::array<std::pair<std::string_view, WavePlanner>, 2> contenders{
        {{"policy", planByPolicy}, {"n at a time", planByCount}}};
    for (const auto &[name, planner] : contenders) {
        WaveOutcome sum;
        std::size_t broken = 0;
        std::size_t through = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            const WaveOutcome outcome = simulateWave(seed, faults, planner);
            broken += outcome.violationSeconds > 0 ? 1 : 0;
            through += outcome.rebooted + outcome.failedReboots == Instances ? 1 : 0;
            sum.violationSeconds += outcome.violationSeconds;
            sum.rebooted += outcome.rebooted;
            sum.failedReboots += outcome.failedReboots;
        }
        fmt::print("{:12} histories broken {:2} of {}, broken s {:6}, through {:2}, rebooted {:4}, failed "
                   "reboots {:3}\n",
                   name,
                   broken,
                   Seeds,
                   sum.violationSeconds,
                   through,
                   sum.rebooted,
                   sum.failedReboots);
    }
}

/// How often, and after how many stops, a wave whose stops fail at random with `rate` is stopped as harmful.
void runHarm(std::size_t instances, double rate)
{
    std::mt19937_64 random(1);
    std::bernoulli_distribution fails(rate);
    std::size_t stopped = 0;
    std::size_t stops = 0;
    for (std::size_t trial = 0; trial < Trials; ++trial) {
        std::size_t failures = 0;
        for (std::size_t n = 1; n <= instances; ++n) {
            failures += fails(random) ? 1 : 0;
            if (Policy::isFailureRateAbnormal(n, failures)) {
                ++stopped;
                stops += n;
                break;
            }
        }
    }
    fmt::print("{:9} {:8.3f} {:10.2f} {:14.1f}\n",
               instances,
               rate,
               100.0 * static_cast<double>(stopped) / Trials,
               stopped > 0 ? static_cast<double>(stops) / static_cast<double>(stopped) : 0);
}

} // namespace

int main()
{
    fmt::print("{} seeds of 7200 s in virtual time; one zone, 24 instances in 4 racks, 5 at once\n", Seeds);
    runWaves("waves with rack losses", {.hasRackFailures = true, .hasFailingReboots = false});
    runWaves("waves with bad reboots", {.hasRackFailures = false, .hasFailingReboots = true});
    runWaves("waves with rack losses and bad reboots", {.hasRackFailures = true, .hasFailingReboots = true});

    fmt::print("\nharm rule, {} trials\n{:>9} {:>8} {:>10} {:>14}\n",
               Trials,
               "instances",
               "rate",
               "stopped %",
               "after stops");
    for (const std::size_t instances : {17U, 24U, 578U}) {
        for (const double rate : {0.01, 0.035, 0.1, 0.3, 0.7}) {
            runHarm(instances, rate);
        }
    }
    return 0;
}
