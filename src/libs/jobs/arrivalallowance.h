#pragma once

#include <base/instant.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Jobs
{

/// Decides which jobs of a workspace are within its accepted load, as a token bucket for each workspace.
/// Answers one caller that sends many times its usual load: what is beyond its allowance waits until the
/// others have been served, and is not held against the callers of other workspaces.
class ArrivalAllowance
{
public:
    using Rates = std::map<std::string, double, std::less<>>; ///< jobs per second, by workspace

    void setRates(Rates rates);

    /// Counts a job that arrives. Workspaces without a rate are not limited.
    bool isWithin(std::string_view workspace, Base::Instant now);

private:
    struct Bucket {
        double tokens = 0;
        Base::Instant filledAt;
    };

    Rates m_rates;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace Jobs
