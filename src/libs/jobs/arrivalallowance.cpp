#include "arrivalallowance.h"

#include <algorithm>
#include <utility>

namespace Jobs
{

namespace
{

// Load may be this far ahead of its rate.
constexpr double BurstSeconds = 5;
constexpr double MinBurst = 4; // jobs

} // namespace

void ArrivalAllowance::setRates(Rates rates)
{
    m_rates = std::move(rates);
    std::erase_if(m_buckets, [this](const auto &it) { return m_rates.count(it.first) == 0; });
}

bool ArrivalAllowance::isWithin(std::string_view workspace, Base::Instant now)
{
    const auto rate = m_rates.find(workspace);
    if (rate == m_rates.end()) {
        return true;
    }
    const double size = std::max(MinBurst, rate->second * BurstSeconds);
    const auto [it, isNew] = m_buckets.try_emplace(std::string(workspace), Bucket{size, now});
    Bucket &bucket = it->second;
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(size, bucket.tokens + elapsed * rate->second);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

} // namespace Jobs
