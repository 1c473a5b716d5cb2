#include "runtimeestimate.h"

#include <algorithm>
#include <cmath>

namespace Scheduling
{

namespace
{

constexpr std::uint32_t MaxSamples = 32;
constexpr double LowDeviations = 2;
constexpr double HighDeviations = 4;

Base::Duration asDuration(double micros)
{
    return Base::Duration{static_cast<Base::Duration::rep>(std::max(0.0, micros))};
}

} // namespace

RunTimeEstimate::RunTimeEstimate(Base::Duration first)
    : m_mean(static_cast<double>(first.count()))
{
}

// The first MaxSamples samples have the same weight, so that the first sample replaces the initial estimate.
// After that, the average is exponentially weighted.
void RunTimeEstimate::add(Base::Duration runTime)
{
    m_samples = std::min(m_samples + 1, MaxSamples);
    const double weight = 1.0 / m_samples;
    const double error = static_cast<double>(runTime.count()) - m_mean;
    m_mean += weight * error;
    if (m_samples > 1) {
        m_deviation += weight * (std::abs(error) - m_deviation);
    }
}

bool RunTimeEstimate::hasSamples() const
{
    return m_samples > 0;
}

Base::Duration RunTimeEstimate::mean() const
{
    return asDuration(m_mean);
}

Base::Duration RunTimeEstimate::lowerBound() const
{
    return hasSamples() ? asDuration(m_mean - LowDeviations * m_deviation) : Base::Duration::zero();
}

Base::Duration RunTimeEstimate::upperBound() const
{
    return asDuration(m_mean + HighDeviations * m_deviation);
}

} // namespace Scheduling
