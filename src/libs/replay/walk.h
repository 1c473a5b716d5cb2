#pragma once

#include "step.h"

#include <concepts>

namespace Replay
{

/// Anything that folds as Fleet::Fold does.
template<typename T>
concept Folder = requires(T &fold, const Fleet::Entry &entry)
{
    {
        fold.applyCommon(entry)
        } -> std::same_as<Fleet::Outcome>;
    {
        fold.applyZone(entry)
        } -> std::same_as<Fleet::Outcome>;
    {
        fold.state()
        } -> std::convertible_to<const Fleet::FleetState &>;
};

/// Folds both streams in causal order and calls `visit` with the Step of each entry. The common stream goes
/// only as far ahead as the zone's records ask for; what is left of it comes last. A zone record that names
/// an offset beyond the common stream's end is left out, with all after it.
template<Folder Fold, typename Visit>
void walk(Fold &fold, const Streams &streams, Visit visit)
{
    auto common = streams.common.begin();
    const auto foldCommon = [&] {
        const Fleet::Outcome outcome = fold.applyCommon(*common);
        visit(Step{Stream::Common, *common, outcome, fold.state()});
        ++common;
    };
    for (const Fleet::Entry &it : streams.zone) {
        Fleet::Outcome outcome = fold.applyZone(it);
        while (outcome.kind == Fleet::OutcomeKind::NotYet && common != streams.common.end()) {
            foldCommon();
            outcome = fold.applyZone(it);
        }
        if (outcome.kind == Fleet::OutcomeKind::NotYet) {
            break;
        }
        visit(Step{Stream::Zone, it, outcome, fold.state()});
    }
    while (common != streams.common.end()) {
        foldCommon();
    }
}

} // namespace Replay
