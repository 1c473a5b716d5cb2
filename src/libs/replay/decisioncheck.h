#pragma once

#include "violation.h"

#include <map>
#include <set>

namespace Replay
{

/// Each action is started, rebooted and ended at most once, and only under the current term.
class DecisionCheck
{
public:
    /// `start` is the state before the first step.
    DecisionCheck(const Fleet::FleetState &start, Violations &violations);

    void check(const Step &step);

private:
    enum class Stage { Started, Rebooted, Ended };

    void note(const Step &step, const Fleet::ActionId &id, Stage stage);

    Violations &m_violations;
    Fleet::Offset m_term;
    std::map<Fleet::ActionId, std::set<Stage>> m_stages;
};

} // namespace Replay
