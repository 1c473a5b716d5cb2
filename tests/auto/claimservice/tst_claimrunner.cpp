#include <claimservice/claimrunner.h>

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Claims::AnswerKind;
using Platform::Offset;

namespace
{

constexpr std::uint64_t Window = 10;

/// An in-memory log that replies only when answerAll() is called.
class FakeLog
{
public:
    void
    append(std::string_view, std::span<const Platform::LogRecord> records, Platform::AppendCallback callback)
    {
        for (const Platform::LogRecord &it : records) {
            add(it.data);
        }
        m_answers.push_back(
            [callback = std::move(callback), offset = end() - 1] { callback(Platform::Appended{{offset}}); });
    }

    void read(const Platform::ReadRequest &request, Platform::ReadCallback callback)
    {
        lastFrom = request.from;
        m_answers.push_back([this, request, callback = std::move(callback)] { answer(request, callback); });
    }

    void trim(std::string_view, Offset before, const Platform::TrimCallback &)
    {
        m_first = before;
    }

    /// Replies to all pending requests, except reads that wait at the end of the log.
    void answerAll()
    {
        auto answers = std::exchange(m_answers, {});
        for (const auto &it : answers) {
            it();
        }
    }

    void add(const std::string &data)
    {
        m_records.push_back(data);
    }

    void addClaims(std::uint64_t from, std::uint64_t count)
    {
        for (std::uint64_t n = from; n < from + count; ++n) {
            const Claims::ClaimEvent events[] = {{{Claims::ownerOf("other"), n}, Claims::Claimed{{7, n}, 1}}};
            add(Claims::encode("other", events));
        }
    }

    Offset end() const
    {
        return m_records.size() + 1;
    }

    Offset lastFrom = 0;

private:
    void answer(const Platform::ReadRequest &request, const Platform::ReadCallback &callback)
    {
        if (request.from < m_first) {
            callback(Platform::TrimmedPast{m_first});
            return;
        }
        if (request.from >= end() && request.waitMilliseconds > 0) {
            read(request, callback);
            return;
        }
        Platform::ReadEntries found{{}, m_first, end()};
        for (Offset n = request.from; n < end() && found.entries.size() < request.maxRecords; ++n) {
            found.entries.push_back({n, std::to_string(n), m_records[n - 1]});
        }
        callback(found);
    }

    Offset m_first = 1;
    std::vector<std::string> m_records;
    std::deque<std::function<void()>> m_answers;
};

} // namespace

TEST_GROUP(ClaimRunner)
{
    FakeLog log;
    Base::TimerService timers;
    std::vector<ClaimService::ClaimReply> replies;
    std::unique_ptr<ClaimService::ClaimRunner<FakeLog>> runner;

    void start()
    {
        ClaimService::RunnerSettings settings;
        settings.member = Base::MemberName{"a"};
        settings.coordinator.table.window = Window;
        runner = std::make_unique<ClaimService::ClaimRunner<FakeLog>>(
            log,
            timers,
            settings,
            ClaimService::ClaimRunner<FakeLog>::Events{
                [this](ClaimService::ClaimReply reply) { replies.push_back(std::move(reply)); },
                [](bool) {
                }});
        runner->start();
    }

    void answerRounds(int count)
    {
        for (int n = 0; n < count; ++n) {
            log.answerAll();
        }
    }

    AnswerKind claim(std::uint64_t key)
    {
        runner->claim({++lastId, {7, key}, 1, timers.now() + 1s});
        answerRounds(3);
        const auto *answer = std::get_if<Claims::ClaimAnswer>(&replies.back());
        CHECK(answer != nullptr);
        return answer->kind;
    }

    std::uint64_t lastId = 0;
};

TEST(ClaimRunner, AppliesTwoWindowsBeforeItIsReady)
{
    log.addClaims(1, 100);
    start();
    answerRounds(1);
    CHECK_EQUAL(101 - 2 * Window, log.lastFrom);
    CHECK(!runner->isReady());
    answerRounds(1);
    CHECK(runner->isReady());
    CHECK(claim(100) == AnswerKind::InProgressElsewhere);
}

TEST(ClaimRunner, StartsAtTheFirstRecordOfATrimmedLog)
{
    log.addClaims(1, 100);
    log.trim("claims", 95, {});
    start();
    answerRounds(2);
    CHECK_EQUAL(95, log.lastFrom);
    answerRounds(1);
    CHECK(!runner->isReady());
    CHECK(claim(1) == AnswerKind::RefusedNotRun);
    log.addClaims(101, Window);
    answerRounds(3);
    CHECK(runner->isReady());
}

TEST(ClaimRunner, IsNotReadyAfterLostRecords)
{
    start();
    answerRounds(2);
    CHECK(runner->isReady());
    log.addClaims(1, 100);
    log.trim("claims", 99, {});
    answerRounds(4);
    CHECK(!runner->isReady());
    CHECK(claim(100) == AnswerKind::OutcomeUnknown);
    CHECK(claim(5) == AnswerKind::RefusedNotRun);
    log.addClaims(101, Window);
    answerRounds(3);
    CHECK(runner->isReady());
}

TEST(ClaimRunner, CallbacksAreIgnoredAfterDestruction)
{
    start();
    runner.reset();
    answerRounds(2);
    CHECK(replies.empty());
}
