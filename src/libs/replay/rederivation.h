#pragma once

#include "statecursor.h"
#include "violation.h"

#include <fmt/format.h>

#include <concepts>
#include <cstddef>
#include <utility>
#include <vector>

namespace Replay
{

/// Decides again what a planner decided: the events of one pass, in order, from the state that it had folded
/// and from what it saw. It is given every recorded pass of a term in order; `lease` tells one term from the
/// next.
template<typename T>
concept Planner = requires(T &planner,
                           const Fleet::FleetState &state,
                           const Fleet::PlannerObserved &observed,
                           const Fleet::PlannerLease &lease)
{
    {
        planner.decide(state, observed, lease)
        } -> std::same_as<std::vector<Fleet::Event>>;
};

/// Every decision of a pass is one that the planner comes to again, in the same order. Decisions that are
/// missing are no violation: a planner may stop at any moment.
template<Planner P>
class Rederivation
{
public:
    Rederivation(P planner, StateCursor cursor)
        : m_planner(std::move(planner))
        , m_cursor(std::move(cursor))
    {
    }

    void check(const Step &step, Violations &violations)
    {
        const Fleet::Record *record = step.entry.record();
        if (step.stream != Stream::Zone || record == nullptr || !isPlanners(*record)) {
            return;
        }
        if (step.outcome.kind != Fleet::OutcomeKind::Applied
            && step.outcome.kind != Fleet::OutcomeKind::Refused) {
            return;
        }
        if (std::holds_alternative<Fleet::PlannerClaimed>(record->event)) {
            m_expected.clear();
        } else if (const auto *observed = std::get_if<Fleet::PlannerObserved>(&record->event)) {
            beginPass(step, *record, *observed);
        } else {
            checkDecision(step, record->event, violations);
        }
    }

private:
    static bool isPlanners(const Fleet::Record &record)
    {
        return record.term.value != 0 || std::holds_alternative<Fleet::PlannerClaimed>(record.event);
    }

    void beginPass(const Step &step, const Fleet::Record &record, const Fleet::PlannerObserved &observed)
    {
        const auto lease = step.state.planners.find(step.state.zone);
        if (lease == step.state.planners.end()) {
            return;
        }
        const Fleet::FleetState &state = m_cursor.stateAt(record.documentOffset, observed.zoneOffset);
        m_expected = m_planner.decide(state, observed, lease->second);
        m_next = 0;
    }

    void checkDecision(const Step &step, const Fleet::Event &event, Violations &violations)
    {
        for (std::size_t n = m_next; n < m_expected.size(); ++n) {
            if (m_expected[n] == event) {
                m_next = n + 1;
                return;
            }
        }
        violations.add(step,
                       Invariant::DecisionFollows,
                       fmt::format("the planner comes to {} decisions in this pass, and not to this one",
                                   m_expected.size()));
    }

    P m_planner;
    StateCursor m_cursor;
    std::vector<Fleet::Event> m_expected;
    std::size_t m_next = 0;
};

} // namespace Replay
