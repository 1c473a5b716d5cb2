#include <http/hedgedcall.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace
{

const Ini::Endpoint Server{"127.0.0.1", 1};

// Answers on connections of their own; what becomes of an attempt is set by the test.
class FakeTransport
{
public:
    explicit FakeTransport(Base::TimerService &timers)
        : m_timers(timers)
    {
    }

    Http::CallId send(const Ini::Endpoint &,
                      const Http::Request &,
                      const Http::TimeLimits &limits,
                      Http::Client::Progress progress,
                      Http::Client::Callback done)
    {
        const Http::CallId id{++sent};
        m_open[id] = std::move(done);
        if (receivesAfter) {
            m_timers.subscribeAfter(*receivesAfter, [progress = std::move(progress)] { progress(100); });
        }
        m_timers.subscribeAfter(limits.whole, [this, id] {
            end(id, {.verdict = Base::Verdict::MayHaveRun, .failure = "timeout", .isTimeout = true});
        });
        if (const auto status = statusOf(sent)) {
            m_timers.subscribeAfter(latency, [this, id, status] {
                end(id,
                    {.response = Http::Response{.status = *status},
                     .verdict = Base::Verdict::Ran,
                     .firstByteAfter = latency});
            });
        }
        return id;
    }

    void abandon(const Ini::Endpoint &, Http::CallId id)
    {
        abandoned += m_open.erase(id);
    }

    std::size_t openCalls() const
    {
        return m_open.size();
    }

    std::uint64_t sent = 0;
    std::uint64_t abandoned = 0;
    Base::Duration latency = 5ms;
    std::optional<Base::Duration> receivesAfter;
    /// The status of the answer to the nth attempt; nullopt if the answer is lost.
    std::function<std::optional<unsigned>(std::uint64_t n)> statusOf = [](std::uint64_t) {
        return 200;
    };

private:
    void end(Http::CallId id, Http::Outcome outcome)
    {
        const auto it = m_open.find(id);
        if (it == m_open.end()) {
            return;
        }
        const auto done = std::move(it->second);
        m_open.erase(it);
        done(std::move(outcome));
    }

    Base::TimerService &m_timers;
    std::map<Http::CallId, Http::Client::Callback> m_open;
};

struct Caller {
    /// Runs one call to its end and returns its outcome; `elapsed` is the time that it took.
    Http::Outcome call(std::string method = "POST", Base::Duration timeout = 1s)
    {
        std::optional<Http::Outcome> outcome;
        const auto startedAt = timers.now();
        Http::Request request;
        request.method = std::move(method);
        std::make_shared<Http::HedgedCall<FakeTransport>>(
            transport,
            timers,
            policy,
            Http::RepeatableCall{
                .server = Server, .request = std::move(request), .limits = {timeout, timeout}, .kind = "t"},
            Http::Client::Progress{},
            [&](Http::Outcome it) {
                CHECK(!outcome); // called back once
                outcome = std::move(it);
            })
            ->start();
        while (!outcome) {
            timers.advanceTo(timers.now() + 1ms);
        }
        elapsed = timers.now() - startedAt;
        timers.advanceTo(timers.now() + 2s);
        LONGS_EQUAL(0, transport.openCalls());
        return *outcome;
    }

    Base::TimerService timers;
    FakeTransport transport{timers};
    Http::HedgePolicy policy;
    Base::Duration elapsed{};
};

std::function<std::optional<unsigned>(std::uint64_t)> losing(double share, unsigned seed)
{
    return [share, random = std::mt19937(seed)](std::uint64_t) mutable -> std::optional<unsigned> {
        return std::uniform_real_distribution<>(0, 1)(random) < share ? std::nullopt : std::optional(200U);
    };
}

} // namespace

TEST_GROUP(Hedging){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(Hedging, WhileAnswersArriveInTimeNothingIsSentTwice)
{
    Caller caller;
    for (int n = 0; n < 200; ++n) {
        caller.transport.latency = std::chrono::milliseconds(1 + n % 40);
        LONGS_EQUAL(200, caller.call().response->status);
    }
    LONGS_EQUAL(200, caller.transport.sent);
}

// The load: half of the answers are lost for 300 writes. A submit is refused while a write takes more than
// 400 ms; with one attempt, half of the writes take 1 s and more.
TEST(Hedging, WithHalfOfTheAnswersLostWritesAreAnsweredBeforeCallersAreRefused)
{
    constexpr int Calls = 300;
    int slow = 0;
    int unanswered = 0;
    Caller caller;
    caller.transport.statusOf = losing(0.5, 1);
    for (int n = 0; n < Calls; ++n) {
        unanswered += caller.call().response ? 0 : 1;
        slow += caller.elapsed > 400ms ? 1 : 0;
    }
    CHECK(slow < Calls / 8); // three attempts get through seven times in eight
    CHECK(unanswered < Calls / 16);
    CHECK(caller.transport.sent < Calls * 5 / 2);
}

// Two members renew a membership of two seconds for five minutes, one with a single attempt per renewal.
TEST(Hedging, WithHalfOfTheAnswersLostAMembershipRarelyLapses)
{
    const auto lapsedShare = [](bool isHedged) {
        Base::TimerService timers;
        FakeTransport transport(timers);
        transport.statusOf = losing(0.5, 7);
        Http::HedgePolicy policy;
        Base::Instant validUntil = timers.now() + 2s;
        Base::Duration lapsed{};
        std::function<void()> renew = [&] {
            const auto askedAt = timers.now();
            const auto answered = [&, askedAt](const Http::Outcome &it) {
                if (it.response) {
                    validUntil = std::max(validUntil, askedAt + 2s);
                }
                timers.subscribeAt(std::max<Base::Instant>(timers.now(), askedAt + 200ms), renew);
            };
            const Http::TimeLimits limits{600ms, 600ms};
            if (isHedged) {
                std::make_shared<Http::HedgedCall<FakeTransport>>(
                    transport,
                    timers,
                    policy,
                    Http::RepeatableCall{.server = Server, .request = {}, .limits = limits, .kind = "t"},
                    Http::Client::Progress{},
                    answered)
                    ->start();
            } else {
                transport.send(
                    Server, {}, limits, [](std::size_t) {}, answered);
            }
        };
        renew();
        const auto end = timers.now() + 300s;
        while (timers.now() < end) {
            timers.advanceTo(timers.now() + 10ms);
            lapsed += timers.now() > validUntil ? 10ms : 0ms;
        }
        return std::chrono::duration<double>(lapsed).count() / 300;
    };
    const double single = lapsedShare(false);
    const double hedged = lapsedShare(true);
    CHECK(single > 0.02);
    CHECK(hedged < single / 5);
}

TEST(Hedging, ASilentServerReceivesFewFurtherAttempts)
{
    Caller caller;
    caller.transport.statusOf = [](std::uint64_t) {
        return std::nullopt;
    };
    for (int n = 0; n < 50; ++n) {
        const auto outcome = caller.call();
        CHECK(!outcome.response);
        CHECK(outcome.verdict == Base::Verdict::MayHaveRun);
        CHECK(caller.elapsed <= 1001ms);
    }
    CHECK(caller.transport.sent <= 50 + 10);
    CHECK(caller.policy.counts().suppressed > 0);
}

TEST(Hedging, ASlowServerReceivesFewFurtherAttempts)
{
    Caller caller;
    caller.transport.latency = 300ms;
    for (int n = 0; n < 50; ++n) {
        LONGS_EQUAL(200, caller.call().response->status);
        CHECK(caller.elapsed <= 301ms);
    }
    CHECK(caller.transport.sent <= 50 + 3);
}

// Guards against refusing a job that is stored: the first attempt may have been executed, and that the store
// has done nothing holds for the second one only.
TEST(Hedging, ARejectedRepeatDoesNotMeanThatNothingWasDone)
{
    Caller caller;
    caller.transport.statusOf = [](std::uint64_t n) -> std::optional<unsigned> {
        return n == 1 ? std::nullopt : std::optional(503U);
    };
    const auto outcome = caller.call();
    CHECK(!outcome.response);
    CHECK(outcome.verdict == Base::Verdict::MayHaveRun);
}

TEST(Hedging, ARejectionOfTheOnlyAttemptIsReportedAtOnce)
{
    Caller caller;
    caller.transport.statusOf = [](std::uint64_t) {
        return 503;
    };
    LONGS_EQUAL(503, caller.call().response->status);
    CHECK(caller.elapsed < 50ms);
    LONGS_EQUAL(1, caller.transport.sent);
}

TEST(Hedging, AnAnswerThatArrivesSlowlyIsNotRequestedAgain)
{
    Caller caller;
    caller.transport.latency = 700ms;
    caller.transport.receivesAfter = 30ms;
    LONGS_EQUAL(200, caller.call("GET").response->status);
    LONGS_EQUAL(1, caller.transport.sent);
}

TEST(Hedging, OtherAttemptsAreAbandonedOnceOneIsAnswered)
{
    Caller caller;
    caller.transport.statusOf = [](std::uint64_t n) -> std::optional<unsigned> {
        return n < 3 ? std::nullopt : std::optional(200U);
    };
    LONGS_EQUAL(200, caller.call().response->status);
    LONGS_EQUAL(3, caller.transport.sent);
    LONGS_EQUAL(2, caller.transport.abandoned);
    LONGS_EQUAL(1, caller.policy.counts().won);
}
