#include "planefixture.h"
#include "testcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

TEST_GROUP(Answers)
{
    PlaneFixture fixture;

    void setup() override
    {
        fixture.start();
    }

    static bool isAnswerTo(const CallerAnswer &answer, const std::string &marker)
    {
        return answer.isComplete && answer.status == 200 && answer.body.starts_with(marker + "\n");
    }
};

TEST(Answers, BodyWithEitherFramingIsReturnedComplete)
{
    for (const char *it : {"/preview?size=1", "/preview?size=100000", "/preview?size=100000&chunked=1"}) {
        TestCaller caller(fixture.port());
        const auto answer = caller.request("GET", it, "X-Request: m\r\n");
        CHECK(answer.isComplete);
        CHECK_EQUAL(200, answer.status);
    }
}

TEST(Answers, LargeRequestBodyIsStreamed)
{
    TestCaller caller(fixture.port());
    const std::string body(3000000, 'b');
    CHECK(isAnswerTo(caller.request("POST", "/proof", "X-Request: large\r\n", body), "large"));
    CHECK_EQUAL(1, fixture.targets.executions());
}

TEST(Answers, ChunkedRequestBodyIsStreamed)
{
    TestCaller caller(fixture.port());
    caller.send("POST /proof HTTP/1.1\r\nHost: a\r\nX-Request: c\r\nTransfer-Encoding: chunked\r\n\r\n"
                "5\r\nhello\r\n0\r\n\r\n");
    CHECK(isAnswerTo(caller.read(), "c"));
}

TEST(Answers, ResponseToHeadHasNoBody)
{
    TestCaller caller(fixture.port());
    const auto answer = caller.request("HEAD", "/preview", "X-Request: h\r\n");
    CHECK_EQUAL(200, answer.status);
    CHECK(answer.body.empty());
    CHECK(isAnswerTo(caller.request("GET", "/preview", "X-Request: after\r\n"), "after"));
}

TEST(Answers, TruncatedResponseIsNeverPresentedAsComplete)
{
    for (const char *it : {"/proof?fault=truncate&size=50000",
                           "/proof?fault=half&size=50000",
                           "/proof?fault=truncate&size=50000&chunked=1",
                           "/proof?fault=eof"}) {
        TestCaller caller(fixture.port());
        const auto answer = caller.request("POST", it, "X-Request: t\r\n", "x");
        CHECK(!answer.isComplete || answer.status >= 500);
    }
}

TEST(Answers, MalformedResponseIsNotForwarded)
{
    TestCaller caller(fixture.port());
    const auto answer = caller.request("POST", "/proof?fault=garbage", {}, "x");
    CHECK_EQUAL(502, answer.status);
    STRCMP_EQUAL("may-have-run", answer.verdict().c_str());
}

// Bytes that a target sends after its response must not be read as the beginning of the next response.
TEST(Answers, BytesAfterResponseAreDiscarded)
{
    for (int n = 0; n < 20; ++n) {
        TestCaller caller(fixture.port());
        const std::string marker = fmt::format("e{}", n);
        CHECK(isAnswerTo(
            caller.request("GET", "/preview?fault=extra", fmt::format("X-Request: {}\r\n", marker)), marker));
    }
}

// Responses must not be mixed up when targets respond late and out of order and some callers reset their
// connections during the request.
TEST(Answers, EveryCallerGetsItsOwnResponse)
{
    constexpr int Callers = 16;
    constexpr int Requests = 40;
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    threads.reserve(Callers);
    for (int n = 0; n < Callers; ++n) {
        threads.emplace_back([&, n] {
            for (int k = 0; k < Requests; ++k) {
                const std::string marker = fmt::format("c{}-{}", n, k);
                TestCaller caller(fixture.port());
                const auto fields = fmt::format("X-Request: {}\r\n", marker);
                if ((n + k) % 5 == 0) {
                    caller.send(fmt::format("GET /preview?delay=20 HTTP/1.1\r\nHost: a\r\n{}\r\n", fields));
                    caller.reset();
                    continue;
                }
                const auto target =
                    fmt::format("/preview?delay={}&size={}", (n * 7 + k * 3) % 20, 100 + 997 * k);
                if (!isAnswerTo(caller.request("GET", target, fields), marker)) {
                    ++wrong;
                }
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    CHECK_EQUAL(0, wrong.load());
}

TEST(Answers, ConnectionServesManyRequests)
{
    TestCaller caller(fixture.port());
    for (int n = 0; n < 50; ++n) {
        const std::string marker = fmt::format("k{}", n);
        CHECK(isAnswerTo(caller.request("POST", "/proof", fmt::format("X-Request: {}\r\n", marker), "body"),
                         marker));
    }
    CHECK_EQUAL(50, fixture.targets.executions());
}

TEST(Answers, ResponseSentBeforeRequestWasReadIsForwarded)
{
    TestCaller caller(fixture.port());
    const std::string body(1000000, 'b');
    const auto answer = caller.request("POST", "/proof?fault=early", "X-Request: early\r\n", body);
    CHECK(answer.status == 200 || answer.status == 0 || answer.verdict() == "may-have-run");
}
