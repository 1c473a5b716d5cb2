#include "arrivalforecast.h"

#include <algorithm>

namespace Machines
{

namespace
{

// The rate is taken over this time, its trend from one such time to the next.
constexpr Base::Duration Window = std::chrono::milliseconds{1000};

// A rate over less says next to nothing.
constexpr Base::Duration LeastHistory = std::chrono::milliseconds{400};

double seconds(Base::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void ArrivalForecast::note(double arrivedWork, Base::Instant now)
{
    if (!m_samples.empty() && arrivedWork < m_samples.back().arrivedWork) {
        m_samples.clear();
    }
    m_samples.push_back({now, arrivedWork});
    while (m_samples.size() > 2 && m_samples[1].at <= now - 2 * Window) {
        m_samples.pop_front();
    }
}

double ArrivalForecast::cores(Base::Duration ahead) const
{
    if (m_samples.size() < 2) {
        return 0;
    }
    const Base::Duration known = m_samples.back().at - m_samples.front().at;
    if (known < LeastHistory) {
        return 0;
    }
    if (known < 2 * Window) {
        return (m_samples.back().arrivedWork - m_samples.front().arrivedWork) / seconds(known);
    }
    const Sample &last = m_samples.back();
    const auto middle = std::find_if(
        m_samples.begin(), m_samples.end(), [&](const Sample &it) { return it.at > last.at - Window; });
    const Sample &first = m_samples.front();
    const Sample &between = *std::prev(middle);
    const double recent = (last.arrivedWork - between.arrivedWork) / seconds(last.at - between.at);
    const double before =
        (between.arrivedWork - first.arrivedWork) / std::max(seconds(between.at - first.at), 0.001);
    const double trend = (recent - before) / seconds(Window);
    return std::max(0.0, recent + std::max(0.0, trend) * seconds(ahead));
}

} // namespace Machines
