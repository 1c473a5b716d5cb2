#include "arrivalforecast.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Machines
{

namespace
{

// The rate is averaged over this time; the trend is the difference between two consecutive windows.
constexpr Base::Duration Window = std::chrono::milliseconds{1000};

// Samples are kept for this time. What arrived in it before a sudden rise is the usual rate.
constexpr Base::Duration History = std::chrono::milliseconds{4000};

// A rate over a shorter time is too noisy to use.
constexpr Base::Duration MinHistory = std::chrono::milliseconds{400};

// Probabilities of arrivals below which chance doesn't explain them. A sudden rise is looked for in several
// windows with each sample, so it has to be rarer than a trend.
constexpr double SuddenRiseLevel = 0.0005;
constexpr double TrendLevel = 0.01;

double seconds(Base::Duration time)
{
    return std::chrono::duration<double>(time).count();
}

// Of two counts of arrivals at the same rate, the recent one has a binomial distribution, whatever the rate
// is (Przyborowski and Wilenski, Biometrika 31, 1940). Returns the probability of this many or more.
double probabilityOfRise(std::uint64_t recent, double recentTime, std::uint64_t before, double beforeTime)
{
    const std::uint64_t total = recent + before;
    if (recent == 0 || recentTime <= 0 || beforeTime <= 0) {
        return 1;
    }
    const double share = recentTime / (recentTime + beforeTime);
    double tail = 0;
    for (std::uint64_t n = recent; n <= total; ++n) {
        const double logProbability = std::lgamma(double(total) + 1) - std::lgamma(double(n) + 1)
            - std::lgamma(double(total - n) + 1) + double(n) * std::log(share)
            + double(total - n) * std::log1p(-share);
        tail += std::exp(logProbability);
    }
    return tail;
}

} // namespace

double Surge::rateIn(Base::Duration ahead) const
{
    return rate + slope * seconds(ahead);
}

double Surge::workIn(Base::Duration ahead) const
{
    return (rate + rateIn(ahead)) / 2 * seconds(ahead);
}

double ArrivalForecast::Interval::rate() const
{
    return work / std::max(seconds, 0.001);
}

ArrivalForecast::Interval ArrivalForecast::between(const Sample &from, const Sample &to)
{
    return {seconds(to.at - from.at), to.arrivedWork - from.arrivedWork, to.arrivedJobs - from.arrivedJobs};
}

// A new owner of the shard counts from 0, and a surge goes on during the change of the owner.
void ArrivalForecast::addSample(double arrivedWork, Base::Instant now, std::uint64_t arrivedJobs)
{
    const Sample reported{now, arrivedWork, arrivedJobs};
    const auto isUncounted = [](const Sample &it) {
        return it.arrivedWork > 0 && it.arrivedJobs == 0;
    };
    const bool isLower = arrivedWork < m_reported.arrivedWork || arrivedJobs < m_reported.arrivedJobs;
    const bool wasCounted = m_earlierOwners.arrivedJobs + m_reported.arrivedJobs > 0;
    if (isUncounted(reported) ? wasCounted || isLower : isUncounted(m_reported)) {
        m_samples.clear();
        m_earlierOwners = {};
    } else if (isLower) {
        m_earlierOwners.arrivedWork += m_reported.arrivedWork;
        m_earlierOwners.arrivedJobs += m_reported.arrivedJobs;
    }
    m_reported = reported;
    m_samples.push_back(
        {now, arrivedWork + m_earlierOwners.arrivedWork, arrivedJobs + m_earlierOwners.arrivedJobs});
    while (m_samples.size() > 2 && m_samples[1].at <= now - History) {
        m_samples.pop_front();
    }
}

const ArrivalForecast::Sample *ArrivalForecast::sampleBefore(Base::Duration age) const
{
    const auto it = std::find_if(m_samples.rbegin(), m_samples.rend(), [&](const Sample &sample) {
        return sample.at <= m_samples.back().at - age;
    });
    return it != m_samples.rend() ? &*it : nullptr;
}

// The rate of a sudden rise is the one that its shortest or longest window proves, whichever is higher, less
// one standard deviation: a forecast from a few jobs is not to move the machines of many.
std::optional<Surge> ArrivalForecast::surge() const
{
    if (m_samples.size() < 3 || m_samples.back().arrivedJobs == 0) {
        return std::nullopt;
    }
    std::optional<Surge> surge;
    const Sample &last = m_samples.back();
    for (auto it = std::next(m_samples.rbegin()); it != m_samples.rend(); ++it) {
        const Interval recent = between(*it, last);
        const Interval before = between(m_samples.front(), *it);
        if (last.at - it->at > Window || it->at - m_samples.front().at < Window) {
            break;
        }
        if (probabilityOfRise(recent.jobs, recent.seconds, before.jobs, before.seconds) < SuddenRiseLevel) {
            const double proven = recent.rate() * (1 - 1 / std::sqrt(double(recent.jobs)));
            surge = Surge{std::max(surge ? surge->rate : 0, proven), 0};
        }
    }
    const Sample *middle = sampleBefore(Window);
    const Sample *first = sampleBefore(2 * Window);
    if (middle && first) {
        const Interval recent = between(*middle, last);
        const Interval before = between(*first, *middle);
        const double probability =
            probabilityOfRise(recent.jobs, recent.seconds, before.jobs, before.seconds);
        if (probability < TrendLevel && recent.rate() > before.rate()) {
            // The rates are those of the middle of their windows.
            const double slope = (recent.rate() - before.rate()) / ((recent.seconds + before.seconds) / 2);
            const double rate = recent.rate() + slope * recent.seconds / 2;
            surge = Surge{std::max(surge ? surge->rate : 0, rate), slope};
        }
    }
    return surge;
}

double ArrivalForecast::predictedCores(Base::Duration ahead) const
{
    if (m_samples.size() < 2 || m_samples.back().at - m_samples.front().at < MinHistory) {
        return 0;
    }
    const Sample &last = m_samples.back();
    const Sample *middle = sampleBefore(Window);
    const Sample *first = sampleBefore(2 * Window);
    const double meanRate = between(m_samples.front(), last).rate();
    if (!middle || !first) {
        return meanRate;
    }
    const double recentRate = between(*middle, last).rate();
    if (last.arrivedJobs > 0) {
        if (const auto rise = surge()) {
            return rise->rateIn(ahead);
        }
        // Few large jobs: a second without any doesn't mean that no more come.
        const Interval recent = between(*middle, last);
        const Interval before = between(m_samples.front(), *middle);
        const bool hasFallen =
            probabilityOfRise(before.jobs, before.seconds, recent.jobs, recent.seconds) < TrendLevel;
        return hasFallen ? recentRate : std::max(recentRate, meanRate);
    }
    const double trend = (recentRate - between(*first, *middle).rate()) / seconds(Window);
    return std::max(0.0, recentRate + std::max(0.0, trend) * seconds(ahead));
}

} // namespace Machines
