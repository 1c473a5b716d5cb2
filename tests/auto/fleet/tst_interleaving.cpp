#include <histories/history.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <string>

namespace Histories
{

namespace
{

constexpr std::uint64_t Seeds = 150;
const Base::AvailabilityZoneName Zone{"a"};

Fleet::Fold emptyFold()
{
    return Fleet::Fold(installedCharts(), Zone);
}

Folded foldCommonFirst(const History &history)
{
    return foldInterleaved(history, emptyFold(), [] { return true; });
}

History remainingHistory(const History &history, const Fleet::FleetState &state)
{
    const auto isAfter = [](Fleet::Offset applied) {
        return [applied](const Fleet::Entry &entry) {
            return entry.offset > applied;
        };
    };
    History rest;
    std::copy_if(history.common.begin(),
                 history.common.end(),
                 std::back_inserter(rest.common),
                 isAfter(state.commonAppliedTo));
    std::copy_if(
        history.zone.begin(), history.zone.end(), std::back_inserter(rest.zone), isAfter(state.appliedTo));
    return rest;
}

/// True if the action of every instance is open and every open action belongs to an instance.
bool isConsistent(const Fleet::FleetState &state)
{
    std::size_t inAction = 0;
    for (const auto &it : state.instances) {
        const Fleet::InstanceState &instance = it.second;
        const bool isInActionPhase = instance.phase == Fleet::InstancePhase::Draining
            || instance.phase == Fleet::InstancePhase::Rebooting;
        if (isInActionPhase != instance.action.has_value()) {
            return false;
        }
        if (instance.action) {
            ++inAction;
            if (!state.moves.contains(*instance.action) && !state.maintenances.contains(*instance.action)) {
                return false;
            }
        }
    }
    return inAction == state.moves.size() + state.maintenances.size();
}

} // namespace

TEST_GROUP(Interleaving){};

TEST(Interleaving, EveryInterleavingGivesTheSameState)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        HistoryOptions options;
        options.seed = seed;
        const History history = makeHistory(options);
        const Folded reference = foldCommonFirst(history);
        const Folded zoneFirst = foldInterleaved(history, emptyFold(), [] { return false; });
        std::mt19937_64 random(seed);
        const Folded mixed = foldInterleaved(history, emptyFold(), [&] { return random() % 2 == 0; });
        const std::string text = "seed " + std::to_string(seed);
        CHECK_TEXT(reference == zoneFirst, text.c_str());
        CHECK_TEXT(reference == mixed, text.c_str());
        Fleet::Fold batched = emptyFold();
        for (const Fleet::Entry &it : history.common) {
            batched.applyCommon(it);
        }
        CHECK_TEXT(batched.applyZone(history.zone) == reference.zone, text.c_str());
        CHECK_TEXT(batched.state() == reference.state, text.c_str());
        LONGS_EQUAL(history.zone.size(), reference.zone.size());
    }
}

TEST(Interleaving, StartingFromASnapshotGivesTheSameState)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        HistoryOptions options;
        options.seed = seed;
        const History history = makeHistory(options);
        const Folded reference = foldCommonFirst(history);

        std::mt19937_64 random(seed);
        const std::size_t cut = random() % history.zone.size();
        Fleet::Fold fold = emptyFold();
        History head = history;
        head.zone.resize(cut);
        head.common.resize(random() % history.common.size() + 1);
        std::size_t zone = 0;
        for (const Fleet::Entry &it : head.common) {
            fold.applyCommon(it);
            while (zone < head.zone.size()
                   && fold.applyZone(head.zone[zone]).kind != Fleet::OutcomeKind::NotYet) {
                ++zone;
            }
        }
        const Fleet::FleetState snapshot = fold.snapshot();
        const History rest = remainingHistory(history, snapshot);
        const Folded restarted = foldInterleaved(
            rest, Fleet::Fold(installedCharts(), snapshot), [&] { return random() % 2 == 0; });
        CHECK_TEXT(reference.state == restarted.state, ("seed " + std::to_string(seed)).c_str());
    }
}

TEST(Interleaving, ActionsAndInstancesAreConsistentAfterEveryRecord)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        HistoryOptions options;
        options.seed = seed;
        const History history = makeHistory(options);
        Fleet::Fold fold = emptyFold();
        std::size_t zone = 0;
        Fleet::Offset accepted;
        for (const Fleet::Entry &it : history.common) {
            fold.applyCommon(it);
            CHECK(fold.state().documentOffset >= accepted);
            accepted = fold.state().documentOffset;
            while (zone < history.zone.size()
                   && fold.applyZone(history.zone[zone]).kind != Fleet::OutcomeKind::NotYet) {
                ++zone;
                CHECK_TEXT(isConsistent(fold.state()), ("seed " + std::to_string(seed)).c_str());
                CHECK(fold.state().documentOffset == accepted);
            }
        }
    }
}

TEST(Interleaving, HistoriesCoverTheOutcomes)
{
    std::array<std::size_t, 6> counts{};
    std::size_t commits = 0;
    std::size_t reboots = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        HistoryOptions options;
        options.seed = seed;
        const History history = makeHistory(options);
        const Folded folded = foldCommonFirst(history);
        for (std::size_t n = 0; n < folded.zone.size(); ++n) {
            ++counts[static_cast<std::size_t>(folded.zone[n].kind)];
            const Fleet::Record *record = history.zone[n].record();
            if (record != nullptr && folded.zone[n].isApplied()) {
                commits += std::holds_alternative<Fleet::MoveCommitted>(record->event) ? 1 : 0;
                reboots += std::holds_alternative<Fleet::RebootRequested>(record->event) ? 1 : 0;
            }
        }
    }
    CHECK(counts[static_cast<std::size_t>(Fleet::OutcomeKind::Refused)] > 0);
    CHECK(counts[static_cast<std::size_t>(Fleet::OutcomeKind::Duplicate)] > 0);
    CHECK(counts[static_cast<std::size_t>(Fleet::OutcomeKind::StaleTerm)] > 0);
    CHECK(counts[static_cast<std::size_t>(Fleet::OutcomeKind::Damaged)] > 0);
    CHECK(commits > Seeds);
    CHECK(reboots > Seeds);
}

} // namespace Histories
