#include "randomdocument.h"

#include <document/changes.h>
#include <document/delta.h>

#include <CppUTest/TestHarness.h>

namespace
{

constexpr int Rounds = 500;

} // namespace

TEST_GROUP(Delta)
{
    Document::Random random{20261204};
};

TEST(Delta, ApplyingTheDifferenceGivesTheOtherDocument)
{
    for (int n = 0; n < Rounds; ++n) {
        const auto from = Document::randomDocument(random);
        const auto to = Document::randomDocument(random);
        CHECK(Document::applied(from, Document::difference(from, to)) == to);
        CHECK(Document::applied({}, Document::difference({}, to)) == to);
    }
}

TEST(Delta, ThereIsADeltaAndAChangeForUnequalDocumentsOnly)
{
    for (int n = 0; n < Rounds; ++n) {
        const auto from = Document::randomDocument(random);
        const auto to = Document::randomDocument(random);
        CHECK(Document::difference(from, from).isEmpty());
        CHECK(Document::changes(from, from).empty());
        CHECK_EQUAL(from == to, Document::difference(from, to).isEmpty());
        CHECK_EQUAL(from == to, Document::changes(from, to).empty());
    }
}

TEST(Delta, ApplyingItTwiceIsApplyingItOnce)
{
    for (int n = 0; n < Rounds; ++n) {
        const auto from = Document::randomDocument(random);
        const auto delta = Document::difference(from, Document::randomDocument(random));
        const auto once = Document::applied(from, delta);
        CHECK(Document::applied(once, delta) == once);
    }
}

TEST(Delta, OneChangeInALargeDocumentIsASmallDelta)
{
    auto from = Document::randomDocument(random);
    from.instances.resize(1);
    auto to = from;
    to.instances.front().slots += 1;
    Document::Delta expected;
    expected.setInstances = {to.instances.front()};
    CHECK(Document::difference(from, to) == expected);
}

TEST_GROUP(Changes)
{
    Document::Document from;
    Document::Document to;

    void setup() override
    {
        from.environment.value = "trial";
        from.pools = {{{"brass"}, false}, {{"slate"}, true}};
        from.instances = {{{"w1"}, "127.0.0.1", 1, {"a"}, {"r"}, 8, 64, {"slate"}}};
        to = from;
    }
};

TEST(Changes, AreReadableLines)
{
    to.pools = {{{"copper"}, false}, {{"slate"}, true}};
    to.instances.front().pool.value = "copper";
    to.weights.moves = 2.5;
    STRCMP_EQUAL("- pool brass\n"
                 "+ pool copper\n"
                 "~ weights.moves: 1 -> 2.5\n"
                 "~ instance w1.pool: slate -> copper\n",
                 Document::toString(Document::changes(from, to)).c_str());
}

TEST(Changes, OverlapInTheSameKeyOrAWholeSection)
{
    auto other = from;
    other.instances.front().slots = 4;
    to.instances.front().connections = 32;
    const auto mine = Document::changes(from, to);
    CHECK(Document::overlapping(mine, Document::changes(from, other)).empty());
    other.instances.front().connections = 16;
    CHECK(Document::overlapping(mine, Document::changes(from, other)) == mine);
    other.instances.clear();
    CHECK(Document::overlapping(mine, Document::changes(from, other)) == mine);
}
