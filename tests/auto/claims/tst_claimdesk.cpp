#include <claims/claimdesk.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Claims::AnswerKind;
using Claims::AppendResult;
using Claims::ClaimAnswer;
using Claims::ClaimDesk;
using Claims::KeyDigest;

TEST_GROUP(ClaimDesk)
{
    Claims::DeskSettings settings;
    ClaimDesk desk{settings, Base::MemberName{"a"}, 1};
    std::vector<std::uint64_t> granted;
    std::vector<ClaimAnswer> answers;
    std::vector<Claims::EncodedRecord> batch;

    static Base::Instant at(std::chrono::milliseconds offset)
    {
        return Base::instantAt(offset);
    }

    void setup() override
    {
        desk.setTail(1);
    }

    void takeOutputs()
    {
        for (auto &it : desk.takeOutputs()) {
            if (auto *append = std::get_if<Claims::AppendBatch>(&it)) {
                batch = append->records;
            } else if (const auto *grant = std::get_if<Claims::Grant>(&it)) {
                granted.push_back(grant->requestId);
            } else {
                answers.push_back(std::get<ClaimAnswer>(it));
            }
        }
    }

    void claim(std::uint64_t requestId, std::uint64_t key, std::chrono::milliseconds now)
    {
        desk.claim({requestId, KeyDigest{1, key}, 9, at(now + 1000ms)}, at(now));
        takeOutputs();
    }

    void foldBatch(std::chrono::milliseconds now)
    {
        for (const auto &it : std::exchange(batch, {})) {
            desk.fold(it.data, at(now));
        }
        takeOutputs();
    }

    void checkAnswer(AnswerKind kind, std::uint64_t requestId)
    {
        CHECK(!answers.empty());
        CHECK(answers.back().kind == kind);
        CHECK_EQUAL(requestId, answers.back().requestId);
    }
};

TEST(ClaimDesk, AGrantComesWithTheFoldAndClaimsWaitTogetherForTheNextAppend)
{
    claim(1, 1, 0ms);
    CHECK_EQUAL(1, batch.size());
    const auto first = std::exchange(batch, {});
    claim(2, 2, 1ms);
    claim(3, 3, 2ms);
    CHECK(batch.empty());
    CHECK(granted.empty());
    desk.onAppend(AppendResult::Appended, at(5ms));
    takeOutputs();
    CHECK(batch.empty());
    CHECK(desk.nextDue() == at(20ms));
    desk.fold(first[0].data, at(6ms));
    desk.tick(at(20ms));
    takeOutputs();
    CHECK_EQUAL(2, batch.size());
    CHECK_EQUAL(1, granted.size());
}

TEST(ClaimDesk, ADeadlineThatPassesBeforeTheGrantIsNotRunAndReleasesTheKey)
{
    claim(1, 1, 0ms);
    const auto late = batch[0];
    desk.onAppend(AppendResult::Unknown, at(10ms));
    desk.tick(at(1000ms));
    takeOutputs();
    checkAnswer(AnswerKind::RefusedNotRun, 1);
    foldBatch(1010ms);
    desk.fold(late.data, at(1020ms));
    takeOutputs();
    CHECK(granted.empty());
    CHECK(!desk.table().find({1, 1}));
    CHECK_EQUAL(0, desk.openClaims());
}

TEST(ClaimDesk, AProcessThatWasFrozenDoesNotGrantAfterTheDeadline)
{
    claim(1, 1, 0ms);
    foldBatch(5000ms);
    CHECK(granted.empty());
    checkAnswer(AnswerKind::RefusedNotRun, 1);
}

TEST(ClaimDesk, AnUnknownAppendIsSentAgainUnderTheSameIds)
{
    claim(1, 1, 0ms);
    const auto first = std::exchange(batch, {});
    desk.onAppend(AppendResult::Unknown, at(10ms));
    desk.tick(*desk.nextDue());
    takeOutputs();
    CHECK_EQUAL(1, batch.size());
    CHECK(first[0].id == batch[0].id);
    foldBatch(300ms);
    desk.fold(first[0].data, at(310ms));
    takeOutputs();
    CHECK_EQUAL(1, granted.size());
}

TEST(ClaimDesk, RepeatsGetTheStoredAnswerOrWhatIsKnown)
{
    claim(1, 1, 0ms);
    foldBatch(10ms);
    claim(2, 1, 11ms);
    checkAnswer(AnswerKind::InProgressElsewhere, 2);
    desk.onAppend(AppendResult::Appended, at(12ms));
    desk.onOutcome(1, Claims::RequestCompleted{201, "made"}, at(30ms));
    takeOutputs();
    foldBatch(40ms);
    claim(3, 1, 41ms);
    checkAnswer(AnswerKind::StoredAnswer, 3);
    CHECK_EQUAL(201, answers.back().status);
    STRCMP_EQUAL("made", answers.back().storedAnswer.c_str());
    desk.claim({4, KeyDigest{1, 1}, 10, at(1000ms)}, at(42ms));
    takeOutputs();
    checkAnswer(AnswerKind::KeyReused, 4);
}

TEST(ClaimDesk, RefusesWhatItCannotClaim)
{
    ClaimDesk unready{settings, Base::MemberName{"b"}, 1};
    unready.setTail(5);
    unready.claim({1, KeyDigest{1, 1}, 9, at(1000ms)}, at(0ms));
    const auto outputs = unready.takeOutputs();
    CHECK(std::get<ClaimAnswer>(outputs.at(0)).kind == AnswerKind::RefusedNotRun);
    CHECK(std::get<ClaimAnswer>(outputs.at(0)).retryAfter > 0ms);

    claim(1, 1, 0ms);
    desk.onAppend(AppendResult::Unavailable, at(1ms));
    desk.tick(*desk.nextDue());
    desk.onAppend(AppendResult::Unavailable, at(400ms));
    takeOutputs();
    claim(2, 2, 401ms);
    checkAnswer(AnswerKind::RefusedNotRun, 2);
    claim(3, 3, 950ms);
    CHECK_EQUAL(1, answers.size());
}

TEST(ClaimDesk, AReaderThatLostRecordsIsNotReadyBeforeItHasSeenAWindow)
{
    settings.table.window = 3;
    ClaimDesk other{settings, Base::MemberName{"b"}, 1};
    other.setTail(1);
    other.claim({1, KeyDigest{1, 1}, 9, at(1000ms)}, at(0ms));
    other.takeOutputs();
    other.startOver(50, at(10ms));
    other.setTail(52);
    const auto outputs = other.takeOutputs();
    CHECK(std::get<ClaimAnswer>(outputs.at(0)).kind == AnswerKind::RefusedNotRun);
    for (int n = 0; n < 3; ++n) {
        CHECK(!other.isReady());
        other.fold("damaged", at(20ms));
    }
    CHECK(other.isReady());
}
