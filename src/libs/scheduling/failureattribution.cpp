#include "failureattribution.h"

#include <algorithm>

namespace Scheduling
{

namespace
{

// A request that fails on this many healthy targets is at fault.
constexpr std::ptrdiff_t MinFailedTargets = 2;

} // namespace

FailureAttribution::FailureAttribution(const TargetTable &targets, OutlierDetector &detector)
    : m_targets(targets)
    , m_detector(detector)
{
}

// If the target can't be reached or refuses the request, the target is at fault. Any other failure may be
// caused by the request. It stays unattributed until the outcome of the request shows which is the case.
void FailureAttribution::record(Request &request, const AttemptResult &result, Base::Instant now)
{
    const bool isTargetFailure =
        result.outcome == AttemptOutcome::ConnectFailed || result.outcome == AttemptOutcome::RefusedByTarget;
    request.failures.push_back({m_targets.at(request.target).spec.id, !isTargetFailure});
    if (isTargetFailure) {
        m_detector.addFailure(request.target, now);
    }
}

bool FailureAttribution::resolve(const Request &request, bool hasSucceeded, Base::Instant now)
{
    const auto isOnHealthy = [this](const FailedAttempt &it) {
        const auto index = m_targets.find(it.target);
        return it.isUnattributed && index && m_detector.isHealthy(*index);
    };
    const auto n = std::count_if(request.failures.begin(), request.failures.end(), isOnHealthy);
    const bool isAtFault = !hasSucceeded && n >= MinFailedTargets;
    for (const FailedAttempt &it : request.failures) {
        const auto index = m_targets.find(it.target);
        const bool isTargetAtFault =
            it.isUnattributed && index && !(isAtFault && m_detector.isHealthy(*index));
        if (isTargetAtFault && !m_targets.at(*index).isRetired) {
            m_detector.addFailure(*index, now);
        }
    }
    return isAtFault;
}

} // namespace Scheduling
