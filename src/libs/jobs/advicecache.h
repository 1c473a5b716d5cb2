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

/// What the advice service has said so far of stages and workers.
class AdviceCache
{
public:
    using StageKey = std::tuple<std::string, std::uint32_t, std::uint32_t>; ///< job, occurrence, stage

    /// The ticket that a start may carry now; nothing when there is none that lasts until the start arrives.
    std::optional<std::string>
    ticket(const StageKey &stage, const std::string &worker, Base::Instant now) const;

    /// A question about those of `workers` that may yet be allowed; nothing while one is under way, or when
    /// all have been denied.
    std::optional<AskAdvice> question(const StageKey &stage,
                                      const AdvicePolicy &policy,
                                      std::span<const std::string> workers,
                                      Base::Instant now);
    void answered(const AskAdvice &question, const std::optional<AdviceAnswer> &answer, Base::Instant now);
    /// The worker refused the ticket, as after its restart.
    void rejected(const StageKey &stage, const std::string &worker);
    void forget(std::string_view job);

private:
    struct Ticket {
        std::string text;
        Base::Instant validUntil;
    };
    struct StageAdvice {
        std::map<std::string, Ticket> tickets;
        std::set<std::string> denied; ///< for good
        bool isQueryPending = false;
        Base::Instant nextQueryAt; ///< of the next question
    };

    std::map<StageKey, StageAdvice> m_stages;
    std::size_t m_pendingQueries = 0;
};

} // namespace Jobs
