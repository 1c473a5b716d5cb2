#include "cluster.h"
#include "scenario.h"
#include "schemes.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace
{

constexpr std::uint64_t Seeds = 3;

struct Condition {
    std::string name;
    Faults faults;
    double meanPerSecond;
};

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole > 0 ? 100.0 * static_cast<double>(part) / static_cast<double>(whole) : 0;
}

double latencyAt(double part, std::vector<Base::Duration> &latencies)
{
    if (latencies.empty()) {
        return 0;
    }
    const auto n = static_cast<std::ptrdiff_t>(part * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + n, latencies.end());
    return static_cast<double>(latencies[static_cast<std::size_t>(n)].count()) / 1000;
}

void add(Result &sum, const Result &run)
{
    sum.offered += run.offered;
    sum.onTime += run.onTime;
    sum.surgeOffered += run.surgeOffered;
    sum.surgeOnTime += run.surgeOnTime;
    sum.refusedAtOnce += run.refusedAtOnce;
    sum.failed += run.failed;
    sum.batchOffered += run.batchOffered;
    sum.batchAnswered += run.batchAnswered;
    sum.latencies.insert(sum.latencies.end(), run.latencies.begin(), run.latencies.end());
    sum.overCommitted += run.overCommitted;
    sum.mostOverCommitted = std::max(sum.mostOverCommitted, run.mostOverCommitted);
    sum.messages += run.messages;
}

template<typename Scheme>
void report(const Condition &condition)
{
    Result sum;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const Scenario scenario(condition.faults, condition.meanPerSecond, seed);
        add(sum, Cluster<Scheme>(scenario, seed).run());
    }
    const double entrySeconds = static_cast<double>(Seeds * Scenario::Entries) * 40;
    fmt::print(
        "{:<27} {:>7.1f} {:>7.1f} {:>6.0f} {:>6.0f} {:>7.1f} {:>6.2f} {:>6.1f} {:>9.2f} {:>5} {:>7.1f}\n",
        Scheme::Name,
        percent(sum.onTime, sum.offered),
        percent(sum.surgeOnTime, sum.surgeOffered),
        latencyAt(0.5, sum.latencies),
        latencyAt(0.99, sum.latencies),
        percent(sum.refusedAtOnce, sum.offered),
        percent(sum.failed, sum.offered),
        percent(sum.batchAnswered, sum.batchOffered),
        sum.overCommitted,
        sum.mostOverCommitted,
        static_cast<double>(sum.messages) / entrySeconds);
}

void compare(const Condition &condition)
{
    fmt::print("\n{}\n", condition.name);
    fmt::print("{:<27} {:>7} {:>7} {:>6} {:>6} {:>7} {:>6} {:>6} {:>9} {:>5} {:>7}\n",
               "scheme",
               "on time",
               "surge",
               "p50",
               "p99",
               "refused",
               "failed",
               "batch",
               "over",
               "most",
               "msg/s");
    report<RoundRobin>(condition);
    report<StaticSplit<false>>(condition);
    report<StaticSplit<true>>(condition);
    report<SharedCounts>(condition);
    report<PeriodicQuotas>(condition);
    report<SlotLeases<false>>(condition);
    report<SlotLeases<true>>(condition);
}

} // namespace

int main(int argc, char **argv)
{
    fmt::print(
        "8 entry instances (3, 3, 2 in zones), 5 services of 10 targets of 8 slots, {} seeds, 30 s each.\n",
        Seeds);
    fmt::print(
        "on time, surge, refused, failed: % of interactive requests; surge: those of a surging service.\n"
        "p50, p99: ms, of answered interactive requests. batch: % answered. over: slot seconds in flight\n"
        "beyond a target's slots; most: slots on one target. msg/s: sent per entry instance.\n");
    const std::vector<Condition> conditions{
        {"mean 250/s, surges 1250/s of 1600/s that a pool holds", {}, 250},
        {"mean 350/s, surges 1750/s of 1600/s", {}, 350},
        {"mean 350/s, with a join", {.hasJoin = true}, 350},
        {"mean 350/s, a silent death, listed after 3 s", {.hasSilentDeath = true}, 350},
        {"mean 350/s, one zone cut off for 12 s", {.hasPartition = true}, 350},
        {"mean 350/s, one entry instance paused for 2.5 s", {.hasPause = true}, 350},
        {"mean 350/s, with join, silent death, partition and pause", {true, true, true, true}, 350}};
    // With arguments, only the conditions of these numbers, counted from 0.
    for (std::size_t n = 0; n < conditions.size(); ++n) {
        const auto isNamed = [n](const char *it) {
            return std::to_string(n) == it;
        };
        if (argc < 2 || std::any_of(argv + 1, argv + argc, isNamed)) {
            compare(conditions[n]);
        }
    }
    return 0;
}
