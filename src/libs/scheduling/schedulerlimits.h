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
    std::uint32_t minOutcomes = 20; ///< required before the success rate is compared with that of the peers
    /// An outlier's success rate is below that of its peers by more than this.
    double successRateMargin = 0.3;
    /// A run of failures that is less probable at the peers' failure rate makes an outlier.
    double outlierProbability = 1e-6;
    Base::Duration baseEjection = std::chrono::seconds{5};
    Base::Duration maxEjection = std::chrono::minutes{5};
    /// Time in service after which the ejection time starts from baseEjection again.
    Base::Duration ejectionLevelRetention = std::chrono::minutes{2};
    std::uint32_t probesToReturn = 3; ///< consecutive successful probes
    /// Time after which a non-idempotent request may be used as a probe.
    Base::Duration nonIdempotentProbeDelay = std::chrono::seconds{2};
};

/// Settings of one entry instance's request scheduler.
struct SchedulerLimits {
    Base::AvailabilityZoneName zone; ///< targets in this zone are preferred; no preference if empty
    /// Maximum number of requests, per service and priority.
    std::array<std::uint32_t, PriorityCount> maxQueueLength{256, 256, 4096};
    std::uint32_t requests = 65536; ///< maximum number of queued and in-flight requests, over all services
    std::uint32_t attempts = 3; ///< maximum number per request, including the first one
    double retryShare = 0.1; ///< retries allowed per success
    double retryBurst = 10; ///< maximum number of retries that accumulate
    /// Share of the slot time while higher priorities wait.
    std::array<double, PriorityCount> guaranteedShare{0, 0.2, 0.05};
    double maxBatchShare = 0.8; ///< share of the slots that batch requests may use
    /// Estimated run time until the first sample.
    Base::Duration initialEstimate = std::chrono::milliseconds{50};
    Base::Duration minRetryAfter = std::chrono::milliseconds{200};
    Base::Duration maxRetryAfter = std::chrono::seconds{30};
    Base::Duration noTargetRetryAfter = std::chrono::seconds{1};
    OutlierLimits outliers;
};

} // namespace Scheduling
