#include <fleet/editapplication.h>
#include <fleet/fold.h>
#include <fleet/zonerules.h>
#include <histories/history.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace Fleet
{

// Each test runs the same seeded history through a naive implementation and through Fold. The property under
// test must hold in Fold for all seeds, and fail in the naive implementation for at least one, which shows
// that the histories can violate it.

namespace
{

constexpr std::uint64_t Seeds = 100;
const Base::AvailabilityZoneName Zone{"a"};

FleetState emptyState()
{
    FleetState state;
    state.zone = Zone;
    return state;
}

/// The seeds for which a property doesn't hold.
template<typename Property>
std::vector<std::uint64_t> failingSeeds(Property holdsForSeed)
{
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        if (!holdsForSeed(seed)) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

void checkOnlyNaiveFails(const char *what,
                         const std::vector<std::uint64_t> &naive,
                         const std::vector<std::uint64_t> &folded)
{
    fmt::print(
        "\n{}: naive breaks at {} of {} seeds: {}\n", what, naive.size(), Seeds, fmt::join(naive, " "));
    fmt::print("{}: fold breaks at {} of {} seeds: {}\n", what, folded.size(), Seeds, fmt::join(folded, " "));
    CHECK(!naive.empty());
    CHECK(folded.empty());
}

// Concurrent edits by two operators

/// Last writer wins: each edit replaces the whole document.
class NaiveStore
{
public:
    explicit NaiveStore(Document::Document document)
        : m_document(std::move(document))
    {
    }

    Offset tail() const
    {
        return {};
    }

    const Document::Document &document() const
    {
        return m_document;
    }

    bool
    publish(Offset, const Document::Document &, const Document::Document &changed, const Document::Delta &)
    {
        m_document = changed;
        return true;
    }

private:
    Document::Document m_document;
};

class FoldedStore
{
public:
    explicit FoldedStore(const Document::Document &document)
    {
        append(EditProposed{{}, "first", "", Histories::makeFullDelta(document), {}});
    }

    Offset tail() const
    {
        return m_fold.state().documentOffset;
    }

    const Document::Document &document() const
    {
        return m_fold.state().document;
    }

    bool
    publish(Offset base, const Document::Document &, const Document::Document &, const Document::Delta &delta)
    {
        return append(EditProposed{base, "operator", "", delta, {}});
    }

private:
    bool append(EditProposed edit)
    {
        ++m_tail;
        return m_fold.applyCommon({{m_tail}, Histories::makeRecord(std::to_string(m_tail), std::move(edit))})
            .isApplied();
    }

    Fold m_fold{Histories::installedCharts(), Zone};
    std::uint64_t m_tail = 0;
};

/// Two operators edit disjoint sets of instances concurrently. Returns true if no accepted edit was lost.
template<typename Store>
bool keepsAcceptedEdits(std::uint64_t seed)
{
    struct Operator {
        Offset base;
        Document::Document read;
        bool isEditing = false;
    };
    constexpr std::size_t Instances = 8;
    Store store(Histories::makeDocument(Instances, 2));
    std::array<Operator, 2> operators;
    std::map<Base::InstanceName, std::uint32_t> accepted;
    std::mt19937_64 random(seed);
    for (std::uint32_t slots = 100; slots < 140; ++slots) {
        const std::size_t n = random() % 2;
        Operator &it = operators[n];
        if (!it.isEditing) {
            it = {store.tail(), store.document(), true};
            continue;
        }
        it.isEditing = false;
        Document::Document changed = it.read;
        Document::Instance &instance = changed.instances[random() % (Instances / 2) * 2 + n];
        instance.slots = slots;
        Document::Delta delta;
        delta.setInstances.push_back(instance);
        if (store.publish(it.base, it.read, changed, delta)) {
            accepted[instance.name] = slots;
        }
    }
    return std::all_of(accepted.begin(), accepted.end(), [&](const auto &it) {
        return findInstance(store.document(), it.first)->slots == it.second;
    });
}

// Planners that are paused between decision and append

/// Accepts records of any planner, whatever its term.
class UnfencedZone
{
public:
    UnfencedZone()
    {
        applyEdit(Histories::installedCharts(),
                  m_state,
                  {1},
                  EditProposed{{}, "", "", Histories::makeFullDelta(Histories::makeDocument(12, 3)), {}});
    }

    const FleetState &state() const
    {
        return m_state;
    }

    void append(Event event, Offset)
    {
        ++m_tail;
        std::visit(ZoneRules(Histories::installedCharts(), m_state, {m_tail}), event);
    }

private:
    FleetState m_state = emptyState();
    std::uint64_t m_tail = 0;
};

class FencedZone
{
public:
    FencedZone()
    {
        const Document::Document document = Histories::makeDocument(12, 3);
        m_fold.applyCommon({{1},
                            Histories::makeRecord(
                                "first", EditProposed{{}, "", "", Histories::makeFullDelta(document), {}})});
    }

    const FleetState &state() const
    {
        return m_fold.state();
    }

    void append(Event event, Offset term)
    {
        ++m_tail;
        m_fold.applyZone({{m_tail}, Record{std::to_string(m_tail), {}, term, {1}, std::move(event), {}}});
    }

private:
    Fold m_fold{Histories::installedCharts(), Zone};
    std::uint64_t m_tail = 0;
};

/// Two planners may each be paused between decision and append. Returns true if there is never more than one
/// instance in maintenance, the limit that each planner checks before it decides.
template<typename ZoneUnderTest>
bool keepsMaintenanceLimit(std::uint64_t seed)
{
    struct Planner {
        Base::MemberName name;
        Offset term;
        std::optional<MaintenanceStarted> decided;
    };
    ZoneUnderTest zone;
    std::array<Planner, 2> planners{{{{"p"}, {}, {}}, {{"q"}, {}, {}}}};
    std::mt19937_64 random(seed);
    std::uint64_t actions = 0;
    const auto claim = [&](Planner &it) {
        zone.append(PlannerClaimed{Zone, it.name, currentTerm(zone.state())}, {});
        it.term = currentTerm(zone.state());
        it.decided.reset();
    };
    claim(planners[0]);
    zone.append(WaveStarted{{"wave"}, 1, Zone, ""}, planners[0].term);
    for (int step = 0; step < 60; ++step) {
        Planner &it = planners[random() % 2];
        const auto &open = zone.state().maintenances;
        const std::uint64_t n = random() % 10;
        if (n == 0) {
            claim(it);
        } else if (it.decided) {
            zone.append(*std::exchange(it.decided, std::nullopt), it.term);
        } else if (open.empty()) {
            auto instance = zone.state().instances.begin();
            std::advance(instance, random() % zone.state().instances.size());
            it.decided = MaintenanceStarted{{fmt::format("a-{}", ++actions)}, {"wave"}, instance->first, ""};
        } else if (n < 4) {
            zone.append(MaintenanceEnded{open.begin()->first, false, ""}, it.term);
        }
        if (zone.state().maintenances.size() > 1) {
            return false;
        }
    }
    return true;
}

// Interleaving of the two streams

/// Validates each record against whatever was read before it.
class ArrivalOrderReader
{
public:
    void applyCommon(const Entry &entry)
    {
        m_commonAppliedTo = entry.offset;
        const Record *record = entry.record();
        if (record == nullptr) {
            return;
        }
        const auto *edit = std::get_if<EditProposed>(&record->event);
        if (edit == nullptr || edit->base != m_state.documentOffset) {
            return;
        }
        if (declaresAllUsedPools(m_state.document, edit->delta)) {
            applyEdit(Histories::installedCharts(), m_state, entry.offset, *edit);
        }
    }

    bool applyZone(const Entry &entry)
    {
        const Record *record = entry.record();
        if (record == nullptr) {
            return true;
        }
        if (record->documentOffset > m_commonAppliedTo) {
            return false;
        }
        std::visit(ZoneRules(Histories::installedCharts(), m_state, entry.offset), record->event);
        return true;
    }

    const FleetState &state() const
    {
        return m_state;
    }

private:
    FleetState m_state = emptyState();
    Offset m_commonAppliedTo;
};

FleetState readInArrivalOrder(const Histories::History &history, bool isCommonFirst)
{
    ArrivalOrderReader reader;
    auto zone = history.zone.begin();
    for (const Entry &it : history.common) {
        reader.applyCommon(it);
        while (!isCommonFirst && zone != history.zone.end() && reader.applyZone(*zone)) {
            ++zone;
        }
    }
    std::for_each(zone, history.zone.end(), [&](const Entry &it) { reader.applyZone(it); });
    return reader.state();
}

Histories::History makeSeededHistory(std::uint64_t seed)
{
    Histories::HistoryOptions options;
    options.seed = seed;
    return Histories::makeHistory(options);
}

bool agreesInArrivalOrder(std::uint64_t seed)
{
    const Histories::History history = makeSeededHistory(seed);
    return readInArrivalOrder(history, true) == readInArrivalOrder(history, false);
}

bool agreesInFold(std::uint64_t seed)
{
    const Histories::History history = makeSeededHistory(seed);
    const auto fold = [&](bool isCommonFirst) {
        return Histories::foldInterleaved(
            history, Fold(Histories::installedCharts(), Zone), [&] { return isCommonFirst; });
    };
    return fold(true) == fold(false);
}

} // namespace

TEST_GROUP(Differential){};

TEST(Differential, FoldKeepsAcceptedEditsUnlikeLastWriterWins)
{
    checkOnlyNaiveFails("an accepted edit stays",
                        failingSeeds(keepsAcceptedEdits<NaiveStore>),
                        failingSeeds(keepsAcceptedEdits<FoldedStore>));
}

TEST(Differential, FencingKeepsTheMaintenanceLimit)
{
    checkOnlyNaiveFails("one instance at once",
                        failingSeeds(keepsMaintenanceLimit<UnfencedZone>),
                        failingSeeds(keepsMaintenanceLimit<FencedZone>));
}

TEST(Differential, ReadersAgreeUnlikeInArrivalOrder)
{
    checkOnlyNaiveFails(
        "readers of both streams agree", failingSeeds(agreesInArrivalOrder), failingSeeds(agreesInFold));
}

} // namespace Fleet
