#include "platformfixture.h"

#include <rhubarbcrank/publishing.h>

#include <random>

using Commands::AppendFault;
using Commands::ExitStatus;
using Commands::PublishVerdict;

TEST_GROUP(EditPublisher)
{
    Commands::PlatformFixture fixture;

    std::size_t records()
    {
        return fixture.session.entries("plaquewright").size();
    }

    void checkVerdict(PublishVerdict expected, const Commands::PublishResult &result) const
    {
        CHECK_EQUAL(static_cast<int>(expected), static_cast<int>(result.verdict));
    }

    /// Publishes the example as the environment's first edit, at offset 1.
    void publishFirst()
    {
        checkVerdict(PublishVerdict::Accepted, fixture.publish(fixture.request(fixture.document)));
    }
};

TEST(EditPublisher, TheFirstDocumentIsAccepted)
{
    const auto result = fixture.publish(fixture.request(fixture.document));
    checkVerdict(PublishVerdict::Accepted, result);
    CHECK_EQUAL(1U, result.offset.value);
    CHECK(fixture.folded().state().document == fixture.document);
}

TEST(EditPublisher, AnEqualDocumentIsNotAppended)
{
    publishFirst();
    checkVerdict(PublishVerdict::Unchanged, fixture.publish(fixture.request(fixture.document)));
    CHECK_EQUAL(1U, records());
}

TEST(EditPublisher, AnEditOnAStaleBaseIsRefusedAndNotAppended)
{
    publishFirst();
    fixture.publish(fixture.request(fixture.withMovesWeight(3), "bela"));
    auto request = fixture.request(fixture.withBufferWeight(2));
    request.base = Fleet::Offset{1};
    const auto result = fixture.publish(request);
    checkVerdict(PublishVerdict::Superseded, result);
    CHECK_EQUAL(2U, records());
    CHECK_EQUAL(1U, result.accepted.size());
    STRCMP_EQUAL("~ weights.buffer: 5 -> 2\n", Document::toString(result.changes).c_str());
    const Commands::Report report = Commands::reportOf(result, request);
    CHECK(report.status == ExitStatus::Refused);
    STRCMP_EQUAL("refused: the document was changed after offset 1, first by\n"
                 "  offset 2 by bela\n"
                 "    ~ weights.moves: 1 -> 3\n"
                 "no key is changed by both\n"
                 "bring the document in line with offset 2 and publish it again\n",
                 report.text.c_str());
}

TEST(EditPublisher, ABaseThatIsNotThereYetIsUnknown)
{
    publishFirst();
    auto request = fixture.request(fixture.withBufferWeight(2));
    request.base = Fleet::Offset{7};
    checkVerdict(PublishVerdict::UnknownBase, fixture.publish(request));
}

TEST(EditPublisher, OfTwoRacingEditsTheFirstInTheLogWins)
{
    publishFirst();
    fixture.session.beforeAppend = [&] {
        checkVerdict(PublishVerdict::Accepted,
                     fixture.publish(fixture.request(fixture.withBufferWeight(7), "bela")));
    };
    const auto request = fixture.request(fixture.withBufferWeight(2));
    const auto result = fixture.publish(request);
    checkVerdict(PublishVerdict::Superseded, result);
    CHECK(fixture.folded().state().document == fixture.withBufferWeight(7));
    STRCMP_CONTAINS("  offset 2 by bela\n    ~ weights.buffer: 5 -> 7\n"
                    "changed by both:\n  ~ weights.buffer: 5 -> 2\n",
                    Commands::reportOf(result, request).text.c_str());
}

TEST(EditPublisher, ALostAnswerIsReadBackAndNeverASecondEdit)
{
    publishFirst();
    fixture.session.appendFaults = {AppendFault::LostAfterEffect};
    checkVerdict(PublishVerdict::Accepted, fixture.publish(fixture.request(fixture.withBufferWeight(2))));
    CHECK_EQUAL(2U, records());
}

TEST(EditPublisher, ALostRequestIsSentAgainUnderTheSameId)
{
    publishFirst();
    fixture.session.appendFaults = {AppendFault::LostBeforeEffect, AppendFault::Unavailable};
    checkVerdict(PublishVerdict::Accepted, fixture.publish(fixture.request(fixture.withBufferWeight(2))));
    CHECK_EQUAL(2U, records());
}

TEST(EditPublisher, ALateEffectAndItsRepeatCountOnce)
{
    publishFirst();
    fixture.session.appendFaults = {AppendFault::LostAndLate, AppendFault::LostAfterEffect};
    const auto result = fixture.publish(fixture.request(fixture.withBufferWeight(2)));
    checkVerdict(PublishVerdict::Accepted, result);
    CHECK_EQUAL(2U, result.offset.value);
    CHECK_EQUAL(3U, records());
    CHECK_EQUAL(2U, fixture.folded().keptEdits().size());
}

TEST(EditPublisher, AnOutageIsToldApartFromAnUnknownOutcome)
{
    fixture.session.isOut = true;
    checkVerdict(PublishVerdict::Unreachable, fixture.publish(fixture.request(fixture.document)));
    fixture.session.isOut = false;
    fixture.session.appendFaults = {AppendFault::LostAfterEffect};
    fixture.session.afterAppend = [&] {
        fixture.session.isOut = true;
    };
    const auto request = fixture.request(fixture.document);
    const auto result = fixture.publish(request);
    checkVerdict(PublishVerdict::Unresolved, result);
    CHECK(Commands::reportOf(result, request).status == ExitStatus::Unreachable);
    STRCMP_CONTAINS(request.recordId.c_str(), Commands::reportOf(result, request).text.c_str());
}

TEST(EditPublisher, WhatThePlatformRejectsIsRefused)
{
    fixture.session.appendFaults = {AppendFault::Rejected};
    const auto result = fixture.publish(fixture.request(fixture.document));
    checkVerdict(PublishVerdict::Rejected, result);
    STRCMP_EQUAL("too large", result.reason.c_str());
}

TEST(EditPublisher, ASnapshotStandsForDroppedRecords)
{
    publishFirst();
    fixture.publish(fixture.request(fixture.withMovesWeight(3), "bela"));
    Fleet::Record record;
    record.id = "snapshot";
    record.event = Fleet::SnapshotTaken{fixture.folded().state()};
    fixture.session.append("plaquewright", {record.id, Record::encode(record)});
    fixture.session.trim("plaquewright", 3);
    const auto result = fixture.publish(fixture.request(fixture.withBufferWeight(2)));
    checkVerdict(PublishVerdict::Accepted, result);
    CHECK_EQUAL(2U, result.base.value);
    CHECK(fixture.folded().state().document == fixture.withBufferWeight(2));
}

TEST(EditPublisher, DroppedRecordsWithoutASnapshotAreNotGuessed)
{
    publishFirst();
    fixture.publish(fixture.request(fixture.withMovesWeight(3), "bela"));
    fixture.session.trim("plaquewright", 2);
    checkVerdict(PublishVerdict::Incomplete, fixture.publish(fixture.request(fixture.withBufferWeight(2))));
    CHECK_EQUAL(1U, records());
}

// Whatever answers are lost and whoever races, what an operator is told is what every reader folds.
TEST(EditPublisher, WhatIsToldIsWhatTheLogSays)
{
    std::mt19937_64 random{20261205};
    publishFirst();
    for (int n = 0; n < 60; ++n) {
        for (auto count = random() % 4; count > 0; --count) {
            fixture.session.appendFaults.push_back(static_cast<AppendFault>(random() % 5));
        }
        const auto weight = [&] {
            return static_cast<double>(random() % 900);
        };
        if (random() % 2 == 0) {
            fixture.session.beforeAppend = [&] {
                fixture.publish(fixture.request(fixture.withMovesWeight(weight()), "bela"));
            };
        }
        const auto request = fixture.request(fixture.withBufferWeight(weight()));
        const auto result = fixture.publish(request);
        const auto log = fixture.folded("plaquewright", result.base);
        const auto &edits = log.keptEdits();
        const auto count = std::count_if(edits.begin(), edits.end(), [&](const auto &it) {
            return it.offset == result.offset && it.author == request.author;
        });
        const bool isAccepted = result.verdict == PublishVerdict::Accepted;
        CHECK(isAccepted || result.verdict == PublishVerdict::Superseded
              || result.verdict == PublishVerdict::Unchanged);
        if (result.verdict != PublishVerdict::Unchanged) {
            CHECK_EQUAL(isAccepted ? 1 : 0, count);
        }
    }
}
