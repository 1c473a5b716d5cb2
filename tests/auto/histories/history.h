#pragma once

#include <fleet/charts.h>
#include <fleet/entry.h>
#include <fleet/fold.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Histories
{

/// The entries of the common stream and of one zone's stream.
struct History {
    std::vector<Fleet::Entry> common;
    std::vector<Fleet::Entry> zone;
};

struct HistoryOptions {
    std::uint64_t seed = 1;
    std::size_t records = 400;
    std::size_t instances = 24;
    std::size_t pools = 4;
    unsigned repeats = 4; ///< per hundred records: entries appended a second time
    unsigned damages = 2; ///< per hundred records: damaged entries
    unsigned staleAuthors = 15; ///< per hundred records: with an outdated base, term or document
};

/// The charts of share/rhubarbcrank/charts. Aborts the program if they can't be loaded.
const Fleet::Charts &installedCharts();

/// A document with instances spread over pools and racks, all in zone "a" unless `zones` says otherwise.
Document::Document makeDocument(std::size_t instances, std::size_t pools, std::size_t zones = 1);

/// A delta that declares the whole document.
Document::Delta makeFullDelta(const Document::Document &document);

Fleet::Record makeRecord(std::string id, Fleet::Event event);

/// Generates the records of concurrent operators, members and planners, including duplicates, damaged entries
/// and records of authors with stale data.
History makeHistory(const HistoryOptions &options);

/// The outcomes and the final state of a fold over both streams.
struct Folded {
    Fleet::FleetState state;
    std::vector<Fleet::Outcome> common;
    std::vector<Fleet::Outcome> zone;

    bool operator==(const Folded &) const = default;
};

/// Folds both streams. Before each step, `isCommonNext` selects the stream to continue with, unless that one
/// has ended or its next zone record depends on common entries not applied yet.
template<typename Choice>
Folded foldInterleaved(const History &history, Fleet::Fold fold, Choice isCommonNext)
{
    Folded folded;
    auto common = history.common.begin();
    auto zone = history.zone.begin();
    while (common != history.common.end() || zone != history.zone.end()) {
        const bool canCommon = common != history.common.end();
        if (zone != history.zone.end() && (!canCommon || !isCommonNext())) {
            const Fleet::Outcome outcome = fold.applyZone(*zone);
            if (outcome.kind != Fleet::OutcomeKind::NotYet) {
                folded.zone.push_back(outcome);
                ++zone;
                continue;
            }
        }
        if (!canCommon) {
            break;
        }
        folded.common.push_back(fold.applyCommon(*common++));
    }
    folded.state = fold.state();
    return folded;
}

} // namespace Histories
