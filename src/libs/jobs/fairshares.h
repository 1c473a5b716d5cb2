#pragma once

#include "queueorder.h"
#include "quotausage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Jobs
{

/// Decides whose tasks go first while the workspaces of a service ask for more than its workers have. One
/// that asks for much more by its weight than others has its share first, by weight and of the resource of
/// which it asks most, and lets others go before the rest. What a workspace doesn't ask for goes to the
/// others, and urgency decides all else. Answers one caller whose jobs crowd out those of the others.
///
/// The decision is based on the unfinished occurrences and on what else runs, so a new owner of the records
/// decides the same once the workers have answered, and a workspace that asked little before gets no more for
/// it.
class FairShares
{
public:
    using Weights = std::map<std::string, double, std::less<>>; ///< by workspace
    using Capacities = std::map<std::string, Resources, std::less<>>; ///< of the usable workers, by service

    /// What a run takes up that belongs to no unfinished occurrence.
    struct OtherUse {
        std::string_view service;
        std::string_view workspace;
        Resources reserved;
    };

    /// The state of a workspace at a service as of the last decision.
    struct Share {
        std::string service;
        std::string workspace;
        double used = 0; ///< by what runs, as a part of the capacity
        double asked = 0; ///< running and waiting, within its quota
        double entitled = 0; ///< its part of the capacity while the others ask
        std::uint32_t deferred = 0; ///< occurrences that let others go first
    };

    void setWeights(Weights weights);
    const Weights &weights() const;

    /// Moves the occurrences that exceed the share of a heavy workspace behind those of the others that are
    /// of use, and returns how many are before them. `ready` is in order of urgency. Started ones keep their
    /// place, as do those of workspaces without a weight.
    std::size_t defer(std::vector<UnfinishedOccurrence> &ready,
                      const Capacities &capacities,
                      const QuotaUsage &quotas,
                      WallTime now,
                      std::span<const OtherUse> others = {});

    /// The workspaces that compete; empty if all fit.
    const std::vector<Share> &shares() const;

private:
    Weights m_weights;
    std::vector<Share> m_shares;
};

} // namespace Jobs
