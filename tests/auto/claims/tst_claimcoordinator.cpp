#include <claims/claimcoordinator.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Claims::AnswerKind;
using Claims::AppendResult;
using Claims::ClaimAnswer;
using Claims::ClaimCoordinator;
using Claims::KeyDigest;

TEST_GROUP(ClaimCoordinator)
{
    Claims::CoordinatorSettings settings;
    ClaimCoordinator coordinator{settings, Base::MemberName{"a"}, 1};
    std::vector<std::uint64_t> granted;
    std::vector<ClaimAnswer> answers;
    std::optional<Claims::AppendRecord> record; ///< the last record that was not applied yet

    static Base::Instant at(std::chrono::milliseconds offset)
    {
        return Base::instantAt(offset);
    }

    void setup() override
    {
        coordinator.setTail(1);
    }

    void takeOutputs()
    {
        for (auto &it : coordinator.takeOutputs()) {
            if (auto *append = std::get_if<Claims::AppendRecord>(&it)) {
                record = std::move(*append);
            } else if (const auto *grant = std::get_if<Claims::Grant>(&it)) {
                granted.push_back(grant->requestId);
            } else {
                answers.push_back(std::get<ClaimAnswer>(it));
            }
        }
    }

    void claim(std::uint64_t requestId, std::uint64_t key, std::chrono::milliseconds now)
    {
        coordinator.claim({requestId, KeyDigest{1, key}, 9, at(now + 1000ms)}, at(now));
        takeOutputs();
    }

    Claims::AppendRecord takeRecord()
    {
        CHECK(record.has_value());
        return *std::exchange(record, std::nullopt);
    }

    void applyNextRecord(std::chrono::milliseconds now)
    {
        coordinator.applyRecord(takeRecord().data, at(now));
        takeOutputs();
    }

    void tickWhenDue()
    {
        CHECK(coordinator.nextDue().has_value());
        coordinator.tick(*coordinator.nextDue());
        takeOutputs();
    }

    void checkAnswer(AnswerKind kind, std::uint64_t requestId)
    {
        CHECK(!answers.empty());
        CHECK(answers.back().kind == kind);
        CHECK_EQUAL(requestId, answers.back().requestId);
    }
};

TEST(ClaimCoordinator, GrantsWhenTheRecordIsAppliedAndBatchesClaimsForTheNextAppend)
{
    claim(1, 1, 0ms);
    const auto first = takeRecord();
    claim(2, 2, 1ms);
    claim(3, 3, 2ms);
    CHECK(!record);
    CHECK(granted.empty());
    coordinator.onAppend(AppendResult::Appended, at(5ms));
    takeOutputs();
    CHECK(!record);
    CHECK(coordinator.nextDue() == at(40ms));
    coordinator.applyRecord(first.data, at(6ms));
    tickWhenDue();
    CHECK_EQUAL(2, Claims::decode(takeRecord().data)->size());
    CHECK_EQUAL(1, granted.size());
}

TEST(ClaimCoordinator, AnEndEventIsBatchedWithTheNextClaimOrSentAfterTheEndDelay)
{
    claim(1, 1, 0ms);
    applyNextRecord(5ms);
    coordinator.onAppend(AppendResult::Appended, at(6ms));
    coordinator.onOutcome(1, Claims::RequestNotRun{}, at(50ms));
    takeOutputs();
    CHECK(!record);
    CHECK(coordinator.nextDue() == at(50ms) + settings.endDelay);
    claim(2, 2, 60ms);
    CHECK_EQUAL(2, Claims::decode(takeRecord().data)->size());
}

TEST(ClaimCoordinator, ADeadlineThatPassesBeforeTheGrantGivesNotRunAndReleasesTheKey)
{
    claim(1, 1, 0ms);
    const auto late = takeRecord();
    coordinator.onAppend(AppendResult::Unknown, at(990ms));
    coordinator.tick(at(1000ms));
    takeOutputs();
    checkAnswer(AnswerKind::RefusedNotRun, 1);
    tickWhenDue();
    applyNextRecord(1300ms);
    coordinator.applyRecord(late.data, at(1310ms));
    takeOutputs();
    CHECK(granted.empty());
    CHECK(!coordinator.table().find({1, 1}));
    CHECK_EQUAL(0, coordinator.openClaims());
}

TEST(ClaimCoordinator, AClaimAppliedAfterItsDeadlineIsNotGranted)
{
    claim(1, 1, 0ms);
    applyNextRecord(5000ms);
    CHECK(granted.empty());
    checkAnswer(AnswerKind::RefusedNotRun, 1);
}

TEST(ClaimCoordinator, ClaimsOfAnUnknownAppendAreResentAndGrantedOnce)
{
    claim(1, 1, 0ms);
    const auto first = takeRecord();
    coordinator.onAppend(AppendResult::Unknown, at(10ms));
    tickWhenDue();
    const auto second = takeRecord();
    CHECK(Claims::decode(first.data) == Claims::decode(second.data));
    CHECK(first.id != second.id);
    coordinator.applyRecord(second.data, at(300ms));
    coordinator.applyRecord(first.data, at(310ms));
    takeOutputs();
    CHECK_EQUAL(1, granted.size());
}

TEST(ClaimCoordinator, RepeatedKeysGetTheStoredAnswerOrTheKnownState)
{
    claim(1, 1, 0ms);
    applyNextRecord(10ms);
    claim(2, 1, 11ms);
    checkAnswer(AnswerKind::InProgressElsewhere, 2);
    coordinator.onAppend(AppendResult::Appended, at(12ms));
    coordinator.onOutcome(1, Claims::RequestCompleted{201, "made"}, at(30ms));
    tickWhenDue();
    applyNextRecord(240ms);
    claim(3, 1, 241ms);
    checkAnswer(AnswerKind::StoredAnswer, 3);
    CHECK_EQUAL(201, answers.back().status);
    STRCMP_EQUAL("made", answers.back().storedAnswer.c_str());
    coordinator.claim({4, KeyDigest{1, 1}, 10, at(1000ms)}, at(242ms));
    takeOutputs();
    checkAnswer(AnswerKind::KeyReused, 4);
}

TEST(ClaimCoordinator, RefusesClaimsWhenNotReadyOrTheLogIsUnavailable)
{
    ClaimCoordinator unready{settings, Base::MemberName{"b"}, 1};
    unready.setTail(5);
    unready.claim({1, KeyDigest{1, 1}, 9, at(1000ms)}, at(0ms));
    const auto outputs = unready.takeOutputs();
    CHECK(std::get<ClaimAnswer>(outputs.at(0)).kind == AnswerKind::RefusedNotRun);
    CHECK(std::get<ClaimAnswer>(outputs.at(0)).retryAfter > 0ms);

    claim(1, 1, 0ms);
    coordinator.onAppend(AppendResult::Unavailable, at(1ms));
    coordinator.tick(*coordinator.nextDue());
    coordinator.onAppend(AppendResult::Unavailable, at(400ms));
    takeOutputs();
    claim(2, 2, 401ms);
    checkAnswer(AnswerKind::RefusedNotRun, 2);
    claim(3, 3, 950ms);
    CHECK_EQUAL(1, answers.size());
}

TEST(ClaimCoordinator, IsNotReadyAfterLostRecordsUntilAFullWindowIsApplied)
{
    settings.table.window = 3;
    ClaimCoordinator other{settings, Base::MemberName{"b"}, 1};
    other.setTail(1);
    other.claim({1, KeyDigest{1, 1}, 9, at(1000ms)}, at(0ms));
    other.takeOutputs();
    other.restartFrom(50, at(10ms));
    other.setTail(52);
    const auto outputs = other.takeOutputs();
    CHECK(std::get<ClaimAnswer>(outputs.at(0)).kind == AnswerKind::RefusedNotRun);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        CHECK(!other.isReady());
        const Claims::ClaimEvent events[] = {{{5, n}, Claims::Released{}}};
        other.applyRecord(Claims::encode("c", events), at(20ms));
    }
    CHECK(other.isReady());
}
