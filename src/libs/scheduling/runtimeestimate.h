#pragma once

#include <base/instant.h>

#include <cstdint>

namespace Scheduling
{

/// Moving average and mean deviation of run times, similar to RFC 6298.
class RunTimeEstimate
{
public:
    /// `first` is the estimate until the first sample.
    explicit RunTimeEstimate(Base::Duration first);

    void add(Base::Duration runTime);

    bool hasSamples() const;
    Base::Duration mean() const;
    Base::Duration lowerBound() const; ///< two deviations below the mean; zero until the first sample
    Base::Duration upperBound() const; ///< four deviations above the mean

private:
    double m_mean; // microseconds
    double m_deviation = 0; // microseconds
    std::uint32_t m_samples = 0;
};

} // namespace Scheduling
