#include <claimservice/claimprocessor.h>
#include <platform/standinthread.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Claims::AnswerKind;
using Claims::ClaimAnswer;
using ClaimService::ClaimReply;

namespace
{

constexpr auto MaxWait = 20s;

Base::Instant steadyNow()
{
    return std::chrono::time_point_cast<Base::Duration>(std::chrono::steady_clock::now());
}

/// Stands in for the thread that uses a ClaimProcessor.
class ClaimProcessorClient
{
public:
    ClaimProcessorClient(std::uint16_t port, const std::string &member)
        : m_processor(settings(port, member), [this] {
            const std::lock_guard lock(m_mutex);
            m_isWoken = true;
            m_wake.notify_one();
        })
    {
    }

    ClaimService::ClaimProcessor &processor()
    {
        return m_processor;
    }

    bool waitUntilReady()
    {
        return waitUntil([this] { return m_processor.isReady(); });
    }

    std::uint64_t claim(const std::string &key, Base::Duration timeout = 10s)
    {
        const std::uint64_t requestId = ++m_lastId;
        CHECK(m_processor.claim({requestId, Claims::digestOf("proofs", key), 1, steadyNow() + timeout}));
        return requestId;
    }

    ClaimReply reply(std::uint64_t requestId)
    {
        CHECK(waitUntil([&] { return m_replies.contains(requestId); }));
        return m_replies.at(requestId);
    }

    bool isGranted(std::uint64_t requestId)
    {
        return std::holds_alternative<Claims::Grant>(reply(requestId));
    }

    ClaimAnswer answer(std::uint64_t requestId)
    {
        return std::get<ClaimAnswer>(reply(requestId));
    }

    /// Repeats the request until the answer is no longer InProgressElsewhere.
    ClaimAnswer finalAnswer(const std::string &key)
    {
        ClaimAnswer last = answer(claim(key));
        for (int n = 0; n < 1000 && last.kind == AnswerKind::InProgressElsewhere; ++n) {
            waitUntil([] { return false; }, 5ms);
            last = answer(claim(key));
        }
        return last;
    }

    template<typename Condition>
    bool waitUntil(Condition condition, std::chrono::milliseconds bound = MaxWait)
    {
        const auto end = std::chrono::steady_clock::now() + bound;
        while (std::chrono::steady_clock::now() < end) {
            m_processor.drainReplies([this](ClaimReply reply) { recordReply(std::move(reply)); });
            if (condition()) {
                return true;
            }
            std::unique_lock lock(m_mutex);
            m_wake.wait_for(lock, 5ms, [this] { return m_isWoken; });
            m_isWoken = false;
        }
        return false;
    }

private:
    static ClaimService::ClaimProcessorSettings settings(std::uint16_t port, const std::string &member)
    {
        ClaimService::ClaimProcessorSettings settings;
        settings.platform.port = port;
        settings.platform.requestTimeout = 200ms;
        settings.runner.member = Base::MemberName{member};
        settings.runner.coordinator.outbox = {5ms, 50ms, 1000};
        settings.runner.startRetryDelay = 10ms;
        settings.runner.follower.firstRetryDelay = 5ms;
        settings.runner.follower.longestRetryDelay = 50ms;
        return settings;
    }

    void recordReply(ClaimReply reply)
    {
        const auto *grant = std::get_if<Claims::Grant>(&reply);
        const std::uint64_t id = grant ? grant->requestId : std::get<ClaimAnswer>(reply).requestId;
        CHECK(m_replies.emplace(id, std::move(reply)).second);
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isWoken = false;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, ClaimReply> m_replies;
    ClaimService::ClaimProcessor m_processor;
};

} // namespace

TEST_GROUP(ClaimProcessor)
{
    PlatformStandin::StandinThread standin;

    /// Returns 1 for a grant. Otherwise the other member holds the key, or the log was temporarily
    /// unavailable to this member.
    int countGrant(ClaimProcessorClient & client, std::uint64_t requestId)
    {
        if (client.isGranted(requestId)) {
            CHECK(client.processor().finish(requestId, Claims::RequestMayHaveRun{}));
            return 1;
        }
        const AnswerKind kind = client.answer(requestId).kind;
        CHECK(kind == AnswerKind::InProgressElsewhere || kind == AnswerKind::OutcomeUnknown
              || kind == AnswerKind::RefusedNotRun);
        return 0;
    }
};

TEST(ClaimProcessor, AnotherMemberGivesTheStoredAnswer)
{
    ClaimProcessorClient a(standin.port(), "a");
    ClaimProcessorClient b(standin.port(), "b");
    CHECK(a.waitUntilReady() && b.waitUntilReady());
    const auto request = a.claim("k");
    CHECK(a.isGranted(request));
    CHECK(a.processor().finish(request, Claims::RequestCompleted{201, "proof 7"}));
    CHECK(a.processor().stop(5s));
    const auto answer = b.finalAnswer("k");
    CHECK(answer.kind == AnswerKind::StoredAnswer);
    CHECK_EQUAL(201, answer.status);
    STRCMP_EQUAL("proof 7", answer.storedAnswer.c_str());
}

TEST(ClaimProcessor, AtMostOneMemberIsGrantedEachKeyDespiteLostDelayedAndRepeatedAppends)
{
    ClaimProcessorClient a(standin.port(), "a");
    ClaimProcessorClient b(standin.port(), "b");
    CHECK(a.waitUntilReady() && b.waitUntilReady());
    PlatformStandin::Faults faults;
    faults.loseEvery = 3;
    faults.lateMs = 30;
    faults.duplicatesAppends = true;
    standin.setFaults(faults);
    int grantCount = 0;
    for (int n = 0; n < 60; ++n) {
        const std::string key = fmt::format("k{}", n);
        const auto requestA = a.claim(key);
        const auto requestB = b.claim(key);
        const int grants = countGrant(a, requestA) + countGrant(b, requestB);
        CHECK(grants <= 1);
        grantCount += grants;
    }
    CHECK(grantCount > 0);
    CHECK(standin.counters().lost > 0);
}

TEST(ClaimProcessor, RefusesUntilTheLogIsAppliedAndRecoversAfterAnOutage)
{
    PlatformStandin::Faults faults;
    faults.isOut = true;
    standin.setFaults(faults);
    ClaimProcessorClient a(standin.port(), "a");
    const auto answer = a.answer(a.claim("k"));
    CHECK(answer.kind == AnswerKind::RefusedNotRun);
    CHECK(answer.retryAfter > 0ms);
    CHECK(!a.processor().isReady());
    standin.setFaults({});
    CHECK(a.waitUntilReady());
    CHECK(a.isGranted(a.claim("k")));
}

TEST(ClaimProcessor, ClaimsDuringAnOutageAreRefusedAndLeaveNoKeyHeld)
{
    ClaimProcessorClient a(standin.port(), "a");
    CHECK(a.waitUntilReady());
    PlatformStandin::Faults faults;
    faults.isOut = true;
    standin.setFaults(faults);
    const auto first = a.claim("k", 300ms);
    CHECK(a.answer(first).kind == AnswerKind::RefusedNotRun);
    standin.setFaults({});
    CHECK(a.waitUntil([&] { return a.isGranted(a.claim("k")); }));
}

TEST(ClaimProcessor, ALaterMemberKnowsTheKeysOfEarlierMembers)
{
    {
        ClaimProcessorClient a(standin.port(), "a");
        CHECK(a.waitUntilReady());
        for (int n = 0; n < 20; ++n) {
            const auto request = a.claim(fmt::format("k{}", n));
            CHECK(a.isGranted(request));
            a.processor().finish(request, Claims::RequestCompleted{200, fmt::format("answer {}", n)});
        }
        CHECK(a.processor().stop(5s));
    }
    ClaimProcessorClient b(standin.port(), "b");
    CHECK(b.waitUntilReady());
    for (int n = 0; n < 20; ++n) {
        const auto answer = b.answer(b.claim(fmt::format("k{}", n)));
        CHECK(answer.kind == AnswerKind::StoredAnswer);
        CHECK(answer.storedAnswer == fmt::format("answer {}", n));
    }
}
