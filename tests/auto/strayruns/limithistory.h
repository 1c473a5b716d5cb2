#pragma once

#include "faulthistory.h"

#include <string>
#include <vector>

/// A seeded history in which most stages have more tasks than their limit per worker allows to run, while
/// workers are cut off for longer than their leases.
class LimitHistory
{
public:
    explicit LimitHistory(std::uint32_t seed, FaultHistory::Builds builds = FaultHistory::Builds::Today);

    /// Returns what has gone wrong.
    std::vector<std::string> play();

    FaultHistory history;

private:
    void submitJob();
    void limit(Jobs::Stage &stage);
    /// Returns those that can't be cancelled.
    std::vector<std::string> cancelLongRunningJobs();

    std::vector<std::string> m_longRunning; ///< accepted jobs that last until they are cancelled
    int m_lastJob = 0;
};
