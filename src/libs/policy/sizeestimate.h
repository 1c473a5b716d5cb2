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

/// How the sizes of one class of jobs have turned out, as parts of what was declared.
struct SizeExperience {
    std::uint64_t jobs = 0; ///< that ended with their usage known
    double cores = 1; ///< mean of used to declared
    double coresDeviation = 0; ///< mean absolute deviation of it
    double memory = 1;
    double memoryDeviation = 0;

    bool operator==(const SizeExperience &) const = default;
};

using SizeMemory = std::map<JobClass, SizeExperience>;

/// Takes in the highest usage that was seen of one job.
void learnSize(SizeMemory &memory, const JobSpec &spec, const JobSize &used);

/// The size to reserve: the declared one at first, what such jobs used as more of them have been seen.
/// Accelerators are as declared.
JobSize expectedSize(const SizeMemory &memory, const JobSpec &spec);

/// True when the size fits into the space.
bool fitsInto(const JobSize &size, const JobSize &space);

} // namespace Policy
