#pragma once

#include "faulthistory.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// A seeded history in which workers restart under their IDs, take the orders that were sent to their earlier
/// incarnations, and are cut off soon after, while owners are killed or hand over.
class RestartHistory
{
public:
    using Milliseconds = FaultHistory::Milliseconds;

    /// Late orders are carried out seconds later, by the incarnation that is up then.
    enum class Orders { Prompt, Late };
    /// A worker that is cut off one way gets orders, but its answers are lost.
    enum class Cuts { BothWays, OneWay };

    RestartHistory(std::uint32_t seed,
                   Orders orders,
                   Cuts cuts = Cuts::BothWays,
                   FaultHistory::Builds builds = FaultHistory::Builds::Today);

    /// Returns what has gone wrong.
    std::vector<std::string> play();

    FaultHistory history;
    std::map<std::string, Base::Instant> submittedAt; ///< by accepted job

private:
    void submitJob(std::uint32_t width);
    /// After `delay`. No or all members reach the worker, or some.
    void cutOff(SimulatedPlatform::Worker &worker, Milliseconds delay);
    void setCut(const std::string &worker, const std::set<std::string> &members);
    /// Restarts one or two workers, which are mostly cut off soon after. A job arrives in between.
    void restartWorkers();
    void replaceOwner();

    Orders m_orders;
    Cuts m_cuts;
    std::map<std::string, int> m_cutsOf; ///< number of cuts so far, by worker
    std::set<std::string> m_darkWorkers; ///< cut off from all members, also from later ones
    int m_lastJob = 0;
};
