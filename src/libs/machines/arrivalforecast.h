#pragma once

#include <base/instant.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace Machines
{

/// A rise of the arrivals that chance doesn't explain.
struct Surge {
    double rate = 0; ///< of the work that arrives now, in cores
    double slope = 0; ///< by which the rate grows, in cores per second; 0 if no trend is proven

    /// Returns the rate `ahead` from now, in cores.
    double rateIn(Base::Duration ahead) const;
    /// Returns the work that arrives until then, in core-seconds.
    double workIn(Base::Duration ahead) const;
};

/// Predicts the rate at which work arrives at a pool by the time a machine that is moved to it now is ready.
/// Follows a demand that rises over several seconds: the recent rate is extrapolated by its trend. Until
/// there are enough samples for a trend, for example after a takeover during a surge, the forecast is the
/// rate alone. If the number of jobs is reported, only a rise beyond chance is extrapolated.
class ArrivalForecast
{
public:
    /// `arrivedWork` is the running total in core-seconds, `arrivedJobs` that of the jobs; 0 if it is not
    /// reported. After a lower value than the last one, the count goes on from 0; without the number of jobs,
    /// all samples are discarded.
    void addSample(double arrivedWork, Base::Instant now, std::uint64_t arrivedJobs = 0);

    /// Returns the number of cores that the work arriving `ahead` from now will occupy, or 0 while there are
    /// too few samples.
    double predictedCores(Base::Duration ahead) const;

    /// Returns the present surge, or nullopt if chance explains the arrivals or no jobs are reported.
    std::optional<Surge> surge() const;

private:
    struct Sample {
        Base::Instant at;
        double arrivedWork = 0;
        std::uint64_t arrivedJobs = 0;
    };
    /// What arrived between two samples.
    struct Interval {
        double seconds = 0;
        double work = 0; ///< core-seconds
        std::uint64_t jobs = 0;

        double rate() const;
    };

    static Interval between(const Sample &from, const Sample &to);
    /// Returns the newest sample that is at least this much older than the last one.
    const Sample *sampleBefore(Base::Duration age) const;

    std::deque<Sample> m_samples; ///< with the totals of all owners of the shard
    Sample m_reported; ///< by the present owner
    Sample m_earlierOwners; ///< totals last reported by the earlier ones
};

} // namespace Machines
