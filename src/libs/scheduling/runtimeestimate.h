#pragma once

#include <base/instant.h>

#include <cstdint>

namespace Scheduling
{

/// Running mean and mean deviation of run times, in the way of RFC 6298.
class RunTimeEstimate
{
public:
    /// `first` stands in until a run time was seen.
    explicit RunTimeEstimate(Base::Duration first);

    void add(Base::Duration runTime);

    bool hasSamples() const;
    Base::Duration mean() const;
    Base::Duration lowerBound() const; ///< two deviations below the mean; zero until a run time was seen
    Base::Duration upperBound() const; ///< four deviations above the mean

private:
    double m_mean; // microseconds
    double m_deviation = 0; // microseconds
    std::uint32_t m_samples = 0;
};

} // namespace Scheduling
