#pragma once

#include "attempt.h"
#include "outlierdetector.h"
#include "request.h"
#include "targettable.h"

#include <base/instant.h>

namespace Scheduling
{

/// Attributes failed attempts to the targets or to the request, and reports failures of targets to the
/// detector.
class FailureAttribution
{
public:
    /// Both must outlive the object.
    FailureAttribution(const TargetTable &targets, OutlierDetector &detector);

    /// Records the failure of the attempt in flight in the request.
    void record(Request &request, const AttemptResult &result, Base::Instant now);

    /// Attributes the request's remaining failures when it ends. `hasSucceeded` is set if a target answered
    /// it without an error. Returns true if the request itself is at fault.
    bool resolve(const Request &request, bool hasSucceeded, Base::Instant now);

private:
    const TargetTable &m_targets;
    OutlierDetector &m_detector;
};

} // namespace Scheduling
