#include "arrivalforecast.h"

#include <algorithm>

namespace Machines
{

namespace
{

// The rate is averaged over this time; the trend is the difference between two consecutive windows.
constexpr Base::Duration Window = std::chrono::milliseconds{1000};

// A rate over a shorter time is too noisy to use.
constexpr Base::Duration MinHistory = std::chrono::milliseconds{400};

double seconds(Base::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void ArrivalForecast::addSample(double arrivedWork, Base::Instant now)
{
    if (!m_samples.empty() && arrivedWork < m_samples.back().arrivedWork) {
        m_samples.clear();
    }
    m_samples.push_back({now, arrivedWork});
    while (m_samples.size() > 2 && m_samples[1].at <= now - 2 * Window) {
        m_samples.pop_front();
    }
}

double ArrivalForecast::predictedCores(Base::Duration ahead) const
{
    if (m_samples.size() < 2) {
        return 0;
    }
    const Base::Duration observed = m_samples.back().at - m_samples.front().at;
    if (observed < MinHistory) {
        return 0;
    }
    if (observed < 2 * Window) {
        return (m_samples.back().arrivedWork - m_samples.front().arrivedWork) / seconds(observed);
    }
    const Sample &last = m_samples.back();
    const auto firstInWindow = std::find_if(
        m_samples.begin(), m_samples.end(), [&](const Sample &it) { return it.at > last.at - Window; });
    const Sample &first = m_samples.front();
    const Sample &windowStart = *std::prev(firstInWindow);
    const double recentRate =
        (last.arrivedWork - windowStart.arrivedWork) / seconds(last.at - windowStart.at);
    const double previousRate =
        (windowStart.arrivedWork - first.arrivedWork) / std::max(seconds(windowStart.at - first.at), 0.001);
    const double trend = (recentRate - previousRate) / seconds(Window);
    return std::max(0.0, recentRate + std::max(0.0, trend) * seconds(ahead));
}

} // namespace Machines
