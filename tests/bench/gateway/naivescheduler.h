#pragma once

#include <scheduling/attempt.h>
#include <scheduling/decision.h>
#include <scheduling/fleetspecs.h>
#include <scheduling/schedulerlimits.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Bench
{

/// No policy: each request goes to the next target at once, and what comes back is handed on.
class NaiveScheduler
{
public:
    NaiveScheduler(const Scheduling::SchedulerLimits &, std::uint64_t)
    {
    }

    void setFleet(std::span<const Scheduling::ServiceSpec>, std::span<const Scheduling::TargetSpec> targets)
    {
        m_targets.assign(targets.begin(), targets.end());
    }

    void
    arrive(const Scheduling::Arrival &arrival, Base::Instant, std::vector<Scheduling::Decision> &decisions)
    {
        if (m_targets.empty()) {
            refuse(arrival.id, Scheduling::RefusalReason::NoTarget, Base::Verdict::NotRun, decisions);
            return;
        }
        m_next = (m_next + 1) % m_targets.size();
        decisions.emplace_back(Scheduling::Dispatch{arrival.id, m_targets[m_next].id, 1, arrival.deadline});
    }

    void attemptEnded(Scheduling::RequestId request,
                      const Scheduling::AttemptResult &result,
                      Base::Instant,
                      std::vector<Scheduling::Decision> &decisions)
    {
        if (result.outcome == Scheduling::AttemptOutcome::Answered) {
            decisions.emplace_back(Scheduling::Deliver{request});
        } else {
            refuse(request,
                   Scheduling::RefusalReason::AttemptFailed,
                   Scheduling::verdictOf(result.outcome),
                   decisions);
        }
    }

    void cancel(Scheduling::RequestId request, Base::Instant, std::vector<Scheduling::Decision> &decisions)
    {
        refuse(request, Scheduling::RefusalReason::Cancelled, Base::Verdict::MayHaveRun, decisions);
    }

    void advance(Base::Instant, std::vector<Scheduling::Decision> &)
    {
    }

    std::optional<Base::Instant> nextDue() const
    {
        return std::nullopt;
    }

private:
    static void refuse(Scheduling::RequestId request,
                       Scheduling::RefusalReason reason,
                       Base::Verdict verdict,
                       std::vector<Scheduling::Decision> &decisions)
    {
        decisions.emplace_back(Scheduling::Refuse{request, reason, verdict, Base::Duration::zero()});
    }

    std::vector<Scheduling::TargetSpec> m_targets;
    std::size_t m_next = 0;
};

} // namespace Bench
