#include <demandsimulation.h>
#include <wavesimulation.h>

#include <fmt/format.h>

#include <array>
#include <string_view>

namespace
{

constexpr std::uint64_t Seeds = 20;

struct Firm {
    std::string_view name;
    Document::Weights weights;
};

struct Contender {
    std::string_view name;
    MovePlanner planner;
    bool hasLending = true;
};

void printRow(std::string_view firm, std::string_view contender, const DemandOutcome &sum)
{
    const double hours = static_cast<double>(Seeds) * DemandScenario{}.seconds / 3600.0;
    fmt::print("{:13} {:24} {:8.2f} {:8.1f} {:10.0f} {:8} {:9.3f} {:10}\n",
               firm,
               contender,
               static_cast<double>(sum.moves) / hours,
               sum.bufferSlots / Seeds,
               sum.rollOutSeconds / Seeds,
               sum.violationSeconds,
               100.0 * static_cast<double>(sum.lateRequests) / static_cast<double>(sum.requests),
               sum.unfinished);
}

void runHistories(std::string_view title, const DemandScenario &base)
{
    const std::array<Firm, 2> firms{
        {{"Plaquewright", PlaquewrightWeights}, {"Kapotaksha", KapotakshaWeights}}};
    const std::array<Contender, 5> contenders{{{"policy", planByPolicy, true},
                                               {"policy, no lending", planByPolicy, false},
                                               {"threshold", planMovesByThreshold, true},
                                               {"threshold, no lending", planMovesByThreshold, false},
                                               {"no moves", planNoMoves, true}}};
    fmt::print("\n{}\n{:13} {:24} {:>8} {:>8} {:>10} {:>8} {:>9} {:>10}\n",
               title,
               "weights",
               "planner",
               "moves/h",
               "buffer",
               "roll-out s",
               "broken s",
               "late %",
               "unfinished");
    for (const Firm &firm : firms) {
        for (const Contender &contender : contenders) {
            DemandScenario shape = base;
            shape.weights = firm.weights;
            shape.hasLending = contender.hasLending;
            DemandOutcome sum;
            for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
                sum += simulateDemand(seed, shape, contender.planner);
            }
            printRow(firm.name, contender.name, sum);
        }
    }
}

} // namespace

int main()
{
    fmt::print("{} seeds of {} s in virtual time; one zone, 17 instances of 8 slots, 5 pools\n",
               Seeds,
               DemandScenario{}.seconds);
    DemandScenario shape;
    runHistories("surges", shape);
    shape.hasShifts = true;
    runHistories("surges and lasting shifts", shape);
    shape.hasRackFailures = true;
    runHistories("surges, lasting shifts and rack losses", shape);
    shape.hasSurges = false;
    runHistories("lasting shifts and rack losses, no surges", shape);
    return 0;
}
