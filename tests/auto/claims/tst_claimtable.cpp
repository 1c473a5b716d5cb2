#include <claims/claimtable.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using Claims::ClaimEvent;
using Claims::ClaimId;
using Claims::ClaimTable;
using Claims::Completed;
using Claims::KeyDigest;
using Claims::KeyPhase;
using Claims::Offset;
using Claims::Released;
using Claims::Uncertain;

namespace
{

ClaimEvent claimed(std::uint64_t sequence, std::uint64_t key)
{
    return {{Claims::ownerOf("m"), sequence}, Claims::Claimed{KeyDigest{0, key}, 7}};
}

ClaimEvent ended(std::uint64_t sequence, decltype(ClaimEvent::kind) kind)
{
    return {{Claims::ownerOf("m"), sequence}, std::move(kind)};
}

std::string encodeOne(const ClaimEvent &event)
{
    return Claims::encode("m", {&event, 1});
}

// Each claim gets at most one kind of end event, however often that event is repeated. A claim that has not
// taken effect when its end event is first generated is released.
class EndEvents
{
public:
    decltype(ClaimEvent::kind) endOf(std::uint64_t sequence, bool hadEffect)
    {
        const bool isUncertain = hadEffect && sequence % 2 == 1;
        const auto [it, isFirst] = m_isUncertain.emplace(sequence, isUncertain);
        if (it->second) {
            return Uncertain{};
        }
        return Released{};
    }

private:
    std::map<std::uint64_t, bool> m_isUncertain;
};

} // namespace

TEST_GROUP(ClaimTable)
{
    ClaimTable table{{10, 100}, 1};

    bool apply(const ClaimEvent &event)
    {
        return table.apply(encodeOne(event)).at(0).takesEffect;
    }

    bool isFree(std::uint64_t key)
    {
        return !table.find(KeyDigest{0, key});
    }
};

TEST(ClaimTable, TheFirstClaimHoldsTheKeyAndRejectedClaimsStayRejected)
{
    CHECK(apply(claimed(1, 5)));
    CHECK(!apply(claimed(2, 5)));
    CHECK(apply(ended(1, Released{})));
    CHECK(isFree(5));
    CHECK(!apply(claimed(2, 5)));
    CHECK(isFree(5));
    CHECK(apply(claimed(3, 5)));
}

TEST(ClaimTable, AClaimReleasedBeforeItIsAppliedHasNoEffect)
{
    CHECK(!apply(ended(1, Released{})));
    CHECK(!apply(claimed(1, 5)));
    CHECK(isFree(5));
}

TEST(ClaimTable, OnlyTheHolderEndsAClaimAndOnlyOnce)
{
    apply(claimed(1, 5));
    apply(claimed(2, 5));
    CHECK(!apply(ended(2, Released{})));
    CHECK(apply(ended(1, Completed{201, "done"})));
    CHECK(!apply(ended(1, Released{})));
    const auto held = table.find({0, 5});
    CHECK(held.has_value() && held->phase == KeyPhase::Completed);
    CHECK_EQUAL(201, held->status);
    CHECK(held->answer == "done");
}

TEST(ClaimTable, AKeyIsForgottenWhenTheWindowHasPassed)
{
    apply(claimed(1, 5));
    apply(ended(1, Uncertain{}));
    for (std::uint64_t n = 0; n < 8; ++n) {
        table.apply("damaged");
        apply(ended(100 + n, Released{}));
        CHECK(!isFree(5));
    }
    apply(ended(200, Released{}));
    CHECK(isFree(5));
    CHECK_EQUAL(0, table.heldKeys());
}

TEST(ClaimTable, AnswersBeyondTheTotalLimitAreNotStored)
{
    apply(claimed(1, 5));
    apply(claimed(2, 6));
    apply(ended(1, Completed{200, std::string(80, 'x')}));
    apply(ended(2, Completed{200, std::string(80, 'x')}));
    CHECK(table.find({0, 5})->answer.has_value());
    CHECK(!table.find({0, 6})->answer.has_value());
}

TEST(ClaimTable, DamagedRecordsAreSkipped)
{
    const std::string good = encodeOne(claimed(1, 5));
    for (std::size_t n = 0; n < good.size(); ++n) {
        std::string bad = good;
        bad[n] = static_cast<char>(bad[n] ^ 0x10);
        CHECK(!Claims::decode(bad));
        CHECK(!Claims::decode(good.substr(0, n)));
    }
    CHECK(Claims::decode(good)->at(0) == claimed(1, 5));
    CHECK(table.apply("damaged").empty());
    CHECK_EQUAL(2, table.next());
}

TEST(ClaimTable, TheEventsOfOneRecordAreAppliedInOrder)
{
    const ClaimEvent events[] = {claimed(1, 5), claimed(2, 5), ended(1, Released{}), claimed(3, 5)};
    const auto applied = table.apply(Claims::encode("m", events));
    CHECK_EQUAL(4, applied.size());
    CHECK(applied[0].takesEffect && !applied[1].takesEffect && applied[2].takesEffect
          && applied[3].takesEffect);
    CHECK_EQUAL(2, table.next());
}

// Applies random records, including repeated and delayed ones, to two tables. A table that started in the
// middle of the stream may report a free key as held, but never a held key as free. If it reports the holder
// as certain, the state of the key is correct.
TEST(ClaimTable, ATableStartedMidStreamNeverReportsAHeldKeyAsFree)
{
    for (unsigned seed = 1; seed <= 400; ++seed) {
        std::mt19937 random(seed);
        const Claims::TableSettings settings{20 + random() % 30, 1000};
        ClaimTable complete(settings, 1);
        const Offset from = 2 + random() % 100;
        ClaimTable partial(settings, from);
        std::vector<ClaimId> effective;
        EndEvents ends;
        std::uint64_t lastSequence = 0;
        for (Offset at = 1; at < 600; ++at) {
            const bool isNew = random() % 3 == 0;
            const std::uint64_t sequence =
                isNew ? ++lastSequence : lastSequence - std::min<std::uint64_t>(lastSequence, random() % 90);
            ClaimEvent event = claimed(sequence, sequence % 7);
            const bool hadEffect =
                std::find(effective.begin(), effective.end(), event.claim) != effective.end();
            if (!isNew && random() % 2 == 0) {
                event.kind = ends.endOf(sequence, hadEffect);
            }
            const auto data = encodeOne(event);
            const auto applied = complete.apply(data).at(0);
            if (applied.isClaim && applied.takesEffect) {
                effective.push_back(event.claim);
            }
            if (at >= from) {
                const auto seen = partial.apply(data).at(0);
                CHECK_TEXT(!partial.hasFullWindow() || !seen.isClaim || !seen.takesEffect
                               || applied.takesEffect,
                           StringFromFormat("seed %u offset %d", seed, int(at)).asCharString());
            }
            for (std::uint64_t key = 0; partial.hasFullWindow() && key < 7; ++key) {
                const auto partialHeld = partial.find({0, key});
                const auto held = complete.find({0, key});
                CHECK_TEXT(partialHeld || !held,
                           StringFromFormat("seed %u offset %d", seed, int(at)).asCharString());
                CHECK(!partialHeld || !partialHeld->isHolderCertain
                      || (held && held->phase == partialHeld->phase));
            }
        }
    }
}
