#pragma once

#include <base/instant.h>
#include <base/names.h>
#include <document/document.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Scheduling
{

inline constexpr std::size_t PriorityCount = 3;

constexpr std::size_t indexOf(Document::Priority priority)
{
    return static_cast<std::size_t>(priority);
}

/// Settings of the outlier detection, for each target.
struct OutlierLimits {
    std::uint32_t consecutiveFailures = 5;
    std::uint32_t minOutcomes = 20; ///< before the success rate is compared with that of the peers
    double successRateMargin = 0.3; ///< below the peers' success rate by this much: an outlier
    double outlierProbability = 1e-6; ///< a run of failures less likely than this among the peers: an outlier
    Base::Duration baseEjection = std::chrono::seconds{5};
    Base::Duration maxEjection = std::chrono::minutes{5};
    Base::Duration ejectionLevelRetention =
        std::chrono::minutes{2}; ///< in service this long: the next ejection is short again
    std::uint32_t probesToReturn = 3; ///< answered probes in a row
    Base::Duration nonIdempotentProbeDelay =
        std::chrono::seconds{2}; ///< then a request that isn't idempotent may be a probe
};

/// Settings of one entry instance's request scheduler.
struct SchedulerLimits {
    Base::AvailabilityZoneName zone; ///< targets of this zone go first; empty: none does
    std::array<std::uint32_t, PriorityCount> queueLength{256, 256, 4096}; ///< requests, per service
    std::uint32_t requests = 65536; ///< queued and in flight, over all services
    std::uint32_t attempts = 3; ///< per request, the first one included
    double retryShare = 0.1; ///< retries earned by each success
    double retryBurst = 10; ///< retries saved up at most
    std::array<double, PriorityCount> guaranteedShare{
        0, 0.2, 0.05}; ///< of slot time, while higher priorities wait
    double maxBatchShare = 0.8; ///< share of the slots that batch requests may hold
    Base::Duration initialEstimate = std::chrono::milliseconds{50}; ///< run time until one was seen
    Base::Duration minRetryAfter = std::chrono::milliseconds{200};
    Base::Duration maxRetryAfter = std::chrono::seconds{30};
    Base::Duration noTargetRetryAfter = std::chrono::seconds{1};
    OutlierLimits outliers;
};

} // namespace Scheduling
