#pragma once

#include "attempt.h"
#include "outlierdetector.h"
#include "request.h"
#include "targettable.h"

#include <base/instant.h>

namespace Scheduling
{

/// Decides whether the targets or the request are at fault for failed attempts, and tells the detector.
class FailureAttribution
{
public:
    /// Both outlive the object.
    FailureAttribution(const TargetTable &targets, OutlierDetector &detector);

    /// The attempt in flight failed; notes the target in the request.
    void record(Request &request, const AttemptResult &result, Base::Instant now);

    /// The request ended; `isRequestSound` when a target answered it well. True when the request is at fault.
    bool resolve(const Request &request, bool hasSucceeded, Base::Instant now);

private:
    const TargetTable &m_targets;
    OutlierDetector &m_detector;
};

} // namespace Scheduling
