#include "sizeestimate.h"

#include <algorithm>
#include <cmath>

namespace Policy
{

namespace
{

/// Number of observed jobs at which observation and declaration have equal weight.
constexpr double DeclarationWeight = 4;
/// Number of mean absolute deviations reserved above the mean.
constexpr double SafetyDeviations = 2;
/// Minimum weight of a new job, because sizes change over time.
constexpr double MinGain = 0.05;
/// Tolerance for rounding errors in sums of sizes.
constexpr double Tolerance = 1e-9;

void updateMean(double &mean, double &deviation, double used, double declared, double gain)
{
    if (declared <= 0) {
        return;
    }
    const double ratio = used / declared;
    const double error = std::abs(ratio - mean);
    mean += (ratio - mean) * gain;
    deviation += (error - deviation) * gain;
}

double blend(double declared, double mean, double deviation, double confidence)
{
    const double learned = mean + SafetyDeviations * deviation;
    return declared * (confidence * learned + (1 - confidence));
}

} // namespace

void learnSize(SizeMemory &memory, const JobSpec &spec, const JobSize &used)
{
    SizeStatistics &it = memory[{spec.team, spec.kind}];
    ++it.jobs;
    const double gain = std::max(MinGain, 1.0 / static_cast<double>(it.jobs));
    updateMean(it.cores, it.coresDeviation, used.cores, spec.declared.cores, gain);
    updateMean(it.memory, it.memoryDeviation, used.memory, spec.declared.memory, gain);
}

JobSize expectedSize(const SizeMemory &memory, const JobSpec &spec)
{
    const auto it = memory.find({spec.team, spec.kind});
    if (it == memory.end()) {
        return spec.declared;
    }
    const SizeStatistics &statistics = it->second;
    const auto jobs = static_cast<double>(statistics.jobs);
    const double confidence = jobs / (jobs + DeclarationWeight);
    JobSize size = spec.declared;
    size.cores = blend(size.cores, statistics.cores, statistics.coresDeviation, confidence);
    size.memory = blend(size.memory, statistics.memory, statistics.memoryDeviation, confidence);
    return size;
}

bool fitsInto(const JobSize &size, const JobSize &space)
{
    return size.cores <= space.cores + Tolerance && size.memory <= space.memory + Tolerance
        && size.accelerators <= space.accelerators;
}

} // namespace Policy
