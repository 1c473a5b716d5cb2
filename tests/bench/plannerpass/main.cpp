#include <fleetmodel.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <numeric>
#include <random>
#include <vector>

#include <malloc.h>

namespace
{

constexpr int Passes = 50;

struct Size {
    std::size_t instances = 0;
    std::size_t zones = 0;
    std::size_t pools = 0;
};

double processorMilliseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

/// Allocated on the heap now; the resident size would hide what is used again.
double heapMegabytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / (1 << 20);
}

FleetModel modelOf(const Size &size)
{
    FleetShape shape;
    shape.zones = size.zones;
    shape.pools = size.pools;
    shape.instancesPerPool = std::max<std::size_t>(1, size.instances / size.zones / size.pools);
    shape.spareExtra = size.instances / size.zones - shape.instancesPerPool * size.pools;
    shape.racks = std::max<std::size_t>(4, size.instances / size.zones / 4);
    shape.availability = 500;
    shape.zoneAvailability = 300;
    shape.hasSpare = true;
    FleetModel model(shape, 8);
    model.state.document.maintenance.maxConcurrent = 8;
    model.state.document.maintenance.waveNumber = 1;
    for (std::size_t n = 0; n < shape.pools; ++n) {
        model.state.document.maintenance.wave.push_back(poolName(n));
    }
    return model;
}

/// Demand changes in every pass, and every instance is reported anew: the costliest case.
void observe(FleetModel &model, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> busy(0, 20);
    model.observations.demands.clear();
    for (const Document::Pool &it : model.state.document.pools) {
        model.observations.demands.push_back({it.name, busy(random), 0, busy(random), 0});
    }
    for (const auto &[name, it] : model.state.instances) {
        model.report(name).inFlight = static_cast<std::uint32_t>(busy(random));
    }
}

struct Cost {
    double mean = 0;
    double p90 = 0;
    double worst = 0;
};

Cost costOf(std::vector<double> spent)
{
    std::sort(spent.begin(), spent.end());
    Cost cost;
    cost.mean = std::accumulate(spent.begin(), spent.end(), 0.0) / static_cast<double>(spent.size());
    cost.p90 = spent.at(spent.size() * 9 / 10);
    cost.worst = spent.back();
    return cost;
}

Cost costOfPasses(FleetModel &model)
{
    std::mt19937_64 random(1);
    std::vector<double> costs;
    for (int n = 0; n < Passes; ++n) {
        observe(model, random);
        model.observations.at = Base::instantAt(std::chrono::seconds(5) * n);
        const double from = processorMilliseconds();
        Policy::PlanResult pass = Policy::plan(model.state, model.observations, model.memory, model.identity);
        costs.push_back(processorMilliseconds() - from);
        model.memory = std::move(pass.memory);
        for (const Policy::Decision &it : pass.decisions) {
            model.apply(it.event);
        }
        model.acknowledgeDrains();
    }
    return costOf(std::move(costs));
}

/// The change of the mean cost from one size to another, for each `unit` of what differs.
void printSlope(const char *what, const Size &from, const Size &to, double difference, double unit)
{
    FleetModel first = modelOf(from);
    FleetModel second = modelOf(to);
    const double change = costOfPasses(second).mean - costOfPasses(first).mean;
    fmt::print("{:8.3f} ms for {:.0f} more {}\n", change / difference * unit, unit, what);
}

} // namespace

int main()
{
    constexpr std::array<Size, 7> Sizes{{{50, 3, 5},
                                         {1000, 3, 5},
                                         {1000, 3, 60},
                                         {1000, 19, 50},
                                         {11000, 19, 5},
                                         {11000, 19, 60},
                                         {11000, 19, 175}}};
    fmt::print("{} passes each, every instance of the zone reported and every demand changed in each pass\n",
               Passes);
    fmt::print("{:>9} {:>5} {:>5} {:>12} {:>9} {:>9} {:>9} {:>10} {:>10}\n",
               "instances",
               "zones",
               "pools",
               "in the zone",
               "mean ms",
               "p90 ms",
               "worst ms",
               "state MB",
               "memory MB");
    for (const Size &it : Sizes) {
        const double before = heapMegabytes();
        FleetModel model = modelOf(it);
        const double withState = heapMegabytes();
        const Cost cost = costOfPasses(model);
        fmt::print("{:9} {:5} {:5} {:12} {:9.3f} {:9.3f} {:9.3f} {:10.2f} {:10.2f}\n",
                   model.state.document.instances.size(),
                   it.zones,
                   it.pools,
                   model.state.instances.size(),
                   cost.mean,
                   cost.p90,
                   cost.worst,
                   withState - before,
                   heapMegabytes() - withState);
    }
    fmt::print("\nslopes, around 6,000 instances, 10 zones, 50 pools\n");
    printSlope("instances in other zones", {6000, 10, 50}, {12000, 20, 50}, 6000, 1000);
    printSlope("instances in the zone, as many in all", {6000, 10, 50}, {6000, 5, 50}, 600, 100);
    printSlope("pools, as many instances", {6000, 10, 50}, {6000, 10, 175}, 125, 100);
    return 0;
}
