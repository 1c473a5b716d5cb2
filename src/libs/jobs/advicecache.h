#pragma once

#include "shardcommands.h"

#include <base/instant.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>

namespace Jobs
{

/// Caches which workers the advice service has allowed or denied for each stage.
class AdviceCache
{
public:
    using StageKey = std::tuple<std::string, std::uint32_t, std::uint32_t>; ///< job, occurrence, stage

    /// The ticket for a start on the worker. Empty if there is none that stays valid until the start arrives.
    std::optional<std::string>
    ticket(const StageKey &stage, const std::string &worker, Base::Instant now) const;

    /// Returns a query about those of `workers` that have no ticket and have not been denied. Empty if there
    /// are none, or if no further query may be sent now, for example because one is pending for the stage.
    /// `neededTogether` workers may have to be allowed at the same time.
    std::optional<AdviceQuery> question(const StageKey &stage,
                                        const AdvicePolicy &policy,
                                        std::span<const std::string> workers,
                                        std::size_t neededTogether,
                                        Base::Instant now);
    void answered(const AdviceQuery &question, const std::optional<AdviceAnswer> &answer, Base::Instant now);
    /// To be called if the worker refused the ticket, for example after its restart.
    void rejected(const StageKey &stage, const std::string &worker);
    void forget(std::string_view job);

private:
    struct Ticket {
        std::string text;
        Base::Instant validUntil;
    };
    struct StageAdvice {
        std::map<std::string, Ticket> tickets;
        std::set<std::string> denied; ///< never asked about again
        bool isQueryPending = false;
        Base::Instant nextQueryAt; ///< earliest time of the next query
    };

    std::map<StageKey, StageAdvice> m_stages;
    std::size_t m_pendingQueries = 0;
};

} // namespace Jobs
