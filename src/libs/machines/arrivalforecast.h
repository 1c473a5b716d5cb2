#pragma once

#include <base/instant.h>

#include <deque>

namespace Machines
{

/// Predicts the rate at which work arrives at a pool by the time a machine that is moved to it now is ready.
/// Follows a demand that rises over several seconds: the recent rate is extrapolated by its trend. Until
/// there are enough samples for a trend, for example after a takeover during a surge, the forecast is the
/// rate alone.
class ArrivalForecast
{
public:
    /// `arrivedWork` is the running total in core-seconds. A lower value than the last one discards all
    /// samples.
    void addSample(double arrivedWork, Base::Instant now);

    /// Returns the number of cores that the work arriving `ahead` from now will occupy, or 0 while there are
    /// too few samples.
    double predictedCores(Base::Duration ahead) const;

private:
    struct Sample {
        Base::Instant at;
        double arrivedWork = 0;
    };

    std::deque<Sample> m_samples;
};

} // namespace Machines
