#include "failureattribution.h"

#include <algorithm>

namespace Scheduling
{

namespace
{

constexpr std::ptrdiff_t FaultTargets = 2; // a request that fails on so many healthy targets is at fault

} // namespace

FailureAttribution::FailureAttribution(const TargetTable &targets, OutlierDetector &detector)
    : m_targets(targets)
    , m_detector(detector)
{
}

// A target that can't be reached or refuses is at fault by itself. Any other failure may be the request's
// own, which the next attempt shows; until then it is held and counts against nobody.
void FailureAttribution::record(Request &request, const AttemptResult &result, Base::Instant now)
{
    const bool isTargets =
        result.outcome == AttemptOutcome::ConnectFailed || result.outcome == AttemptOutcome::RefusedByTarget;
    request.failures.push_back({m_targets.at(request.target).spec.id, !isTargets});
    if (isTargets) {
        m_detector.addFailure(request.target, now);
    }
}

// Decides the failures that are held; true when the request itself is at fault.
bool FailureAttribution::settle(const Request &request, bool isRequestSound, Base::Instant now)
{
    const auto isOnHealthy = [this](const FailedAttempt &it) {
        const auto index = m_targets.find(it.target);
        return it.isUnattributed && index && m_detector.isHealthy(*index);
    };
    const auto n = std::count_if(request.failures.begin(), request.failures.end(), isOnHealthy);
    const bool isAtFault = !isRequestSound && n >= FaultTargets;
    for (const FailedAttempt &it : request.failures) {
        const auto index = m_targets.find(it.target);
        const bool isCharged = it.isUnattributed && index && !(isAtFault && m_detector.isHealthy(*index));
        if (isCharged && !m_targets.at(*index).isRetired) {
            m_detector.addFailure(*index, now);
        }
    }
    return isAtFault;
}

} // namespace Scheduling
