#pragma once

#include "jobevents.h"

#include <compare>
#include <cstdint>
#include <map>

namespace Policy
{

struct JobClass {
    TeamName team;
    JobKind kind;

    auto operator<=>(const JobClass &) const = default;
};

/// Actual resource usage of one class of jobs, relative to the declared size.
struct SizeStatistics {
    std::uint64_t jobs = 0; ///< number of completed jobs with known usage
    double cores = 1; ///< mean ratio of used to declared
    double coresDeviation = 0; ///< mean absolute deviation of the ratio
    double memory = 1;
    double memoryDeviation = 0;

    bool operator==(const SizeStatistics &) const = default;
};

using SizeMemory = std::map<JobClass, SizeStatistics>;

/// Updates the statistics with the peak usage of one completed job.
void learnSize(SizeMemory &memory, const JobSpec &spec, const JobSize &used);

/// The size to reserve. It moves from the declared size to the observed usage as more jobs of the class have
/// been seen. Accelerators are always as declared.
JobSize expectedSize(const SizeMemory &memory, const JobSpec &spec);

/// True if every resource fits, with a tolerance for rounding.
bool fitsInto(const JobSize &size, const JobSize &space);

} // namespace Policy
