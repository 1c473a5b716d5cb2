#pragma once

#include <base/instant.h>

#include <deque>

namespace Machines
{

/// Foretells how much work a pool will be asked for when a machine that is moved to it now can begin.
/// Answers a demand that rises over some seconds: the rate seen is extended by its trend, once enough has
/// been seen for one. Before, as after a hand-over in the middle of a surge, the rate alone counts.
class ArrivalForecast
{
public:
    /// `arrivedWork` in core-seconds since the beginning; a lower value than before begins anew.
    void addSample(double arrivedWork, Base::Instant now);

    /// Cores that the work arriving at `ahead` from now keeps busy. 0 while too little has been seen.
    double predictedCores(Base::Duration ahead) const;

private:
    struct Sample {
        Base::Instant at;
        double arrivedWork = 0;
    };

    std::deque<Sample> m_samples;
};

} // namespace Machines
