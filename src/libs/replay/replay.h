#pragma once

#include "budgetcheck.h"
#include "chartcheck.h"
#include "decisioncheck.h"
#include "draincheck.h"
#include "editcheck.h"
#include "poolcheck.h"
#include "rederivation.h"
#include "snapshotcheck.h"
#include "violation.h"
#include "walk.h"

#include <fleet/charts.h>
#include <fleet/fold.h>

#include <array>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace Replay
{

/// How many entries came to each outcome.
struct OutcomeCounts {
    std::array<std::size_t, 6> counts{}; ///< by Fleet::OutcomeKind

    std::size_t of(Fleet::OutcomeKind kind) const
    {
        return counts.at(static_cast<std::size_t>(kind));
    }
};

/// What a replay found.
struct Findings {
    Fleet::FleetState state; ///< at the end
    OutcomeCounts outcomes;
    std::vector<Violation> violations; ///< in the order in which they were met

    bool isSound() const
    {
        return violations.empty();
    }
};

/// All checks that need no planner, over the steps of one replay.
class Checks
{
public:
    /// `start` is where the streams begin.
    Checks(const Fleet::Charts &charts,
           const Fleet::Fold &start,
           const Streams &streams,
           Violations &violations);

    void check(const Step &step);

private:
    PoolCheck m_pool;
    BudgetCheck m_budget;
    DecisionCheck m_decision;
    EditCheck m_edit;
    DrainCheck m_drain;
    ChartCheck m_chart;
    SnapshotCheck m_snapshot;
};

/// Replays with a folder of any kind, which stands where the streams begin as `start` does; `visit` is called
/// with each step and the violations found so far.
template<Folder F, typename Visit>
Findings replayWith(
    const Fleet::Charts &charts, F folder, const Fleet::Fold &start, const Streams &streams, Visit visit)
{
    Findings findings;
    Violations violations;
    Checks checks(charts, start, streams, violations);
    walk(folder, streams, [&](const Step &step) {
        ++findings.outcomes.counts.at(static_cast<std::size_t>(step.outcome.kind));
        checks.check(step);
        visit(step, violations);
    });
    findings.state = folder.state();
    findings.violations = violations.list();
    return findings;
}

/// Replays the record of one zone and checks every invariant but DecisionFollows.
Findings replay(const Fleet::Charts &charts, const Fleet::Fold &start, const Streams &streams);

/// Replays the record of one zone and checks every invariant; `planner` decides again what was decided.
template<Planner P>
Findings replay(const Fleet::Charts &charts, const Fleet::Fold &start, const Streams &streams, P planner)
{
    Rederivation<P> rederivation(std::move(planner), StateCursor(start, streams));
    return replayWith(charts, start, start, streams, [&](const Step &step, Violations &violations) {
        rederivation.check(step, violations);
    });
}

/// One line for each violation, and a summary.
std::string toText(const Findings &findings);

/// The same as a JSON object.
std::string toJson(const Findings &findings);

} // namespace Replay
