#include "planefixture.h"
#include "testcaller.h"

#include <CppUTest/TestHarness.h>

#include <string>

TEST_GROUP(Verdicts)
{
    PlaneFixture fixture;

    void setup() override
    {
        fixture.start();
    }

    /// Returns a port without a listener: it was bound and released again.
    static std::uint16_t closedPort()
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return acceptor.local_endpoint().port();
    }
};

TEST(Verdicts, NotRunWhenNoTargetIsReachable)
{
    fixture.route({closedPort()});
    TestCaller caller(fixture.port());
    const auto answer = caller.request("POST", "/proof", {}, "x");
    STRCMP_EQUAL("not-run", answer.verdict().c_str());
    CHECK(answer.status >= 500);
    CHECK_EQUAL(0, fixture.targets.executions());
}

TEST(Verdicts, NonIdempotentRequestIsRetriedWhenFirstTargetIsUnreachable)
{
    fixture.route({closedPort(), fixture.targets.port(0)});
    for (int n = 0; n < 10; ++n) {
        TestCaller caller(fixture.port());
        CHECK_EQUAL(
            200, caller.request("POST", "/proof", "X-Request: a" + std::to_string(n) + "\r\n", "x").status);
    }
    CHECK_EQUAL(1, fixture.targets.maxExecutionsPerKey());
}

TEST(Verdicts, NotRunWhenTargetReportsNotRun)
{
    TestCaller caller(fixture.port());
    const auto answer = caller.request("POST", "/proof?fault=refuse", {}, "x");
    STRCMP_EQUAL("not-run", answer.verdict().c_str());
    CHECK_EQUAL(0, fixture.targets.executions());
}

TEST(Verdicts, MayHaveRunWhenConnectionFailsAfterRequest)
{
    for (const char *it :
         {"/proof?fault=close", "/proof?fault=stall", "/proof?fault=garbage", "/proof?fault=eof"}) {
        TestCaller caller(fixture.port());
        const auto answer = caller.request("POST", it, std::string("X-Request: ") + it + "\r\n", "x");
        STRCMP_EQUAL("may-have-run", answer.verdict().c_str());
        CHECK(answer.status == 502 || answer.status == 504);
    }
    CHECK_EQUAL(1, fixture.targets.maxExecutionsPerKey());
    CHECK_EQUAL(4, fixture.targets.executions());
}

TEST(Verdicts, IdempotentRequestIsRetriedOnAnotherTarget)
{
    fixture.targets.runOnTarget(0, [](auto &server) { server.defaults().fault = "close"; });
    for (int n = 0; n < 10; ++n) {
        TestCaller caller(fixture.port());
        CHECK_EQUAL(200, caller.request("GET", "/preview").status);
    }
}

TEST(Verdicts, StalledConnectionIsDetectedAndNotReused)
{
    TestCaller caller(fixture.port());
    CHECK_EQUAL(200, caller.request("POST", "/proof", {}, "x").status);
    const auto start = std::chrono::steady_clock::now();
    const auto answer = caller.request("POST", "/proof?fault=stall", {}, "x");
    const auto elapsed = std::chrono::steady_clock::now() - start;
    STRCMP_EQUAL("may-have-run", answer.verdict().c_str());
    CHECK(elapsed >= std::chrono::milliseconds(300));
    CHECK_EQUAL(200, caller.request("POST", "/proof", {}, "x").status);
    CHECK_EQUAL(1, fixture.plane->targetCounters().progressTimeouts.load());
}

TEST(Verdicts, CallerDeadlineEndsAttempt)
{
    TestCaller caller(fixture.port());
    const auto answer = caller.request("POST", "/proof?delay=5000", "Rhubarbcrank-Deadline-Ms: 100\r\n", "x");
    CHECK_EQUAL(504, answer.status);
    STRCMP_EQUAL("may-have-run", answer.verdict().c_str());
}

TEST(Verdicts, DrainingTargetGetsNoNewRequests)
{
    fixture.route({fixture.targets.port(0), fixture.targets.port(1)}, {0});
    for (int n = 0; n < 20; ++n) {
        TestCaller caller(fixture.port());
        CHECK_EQUAL(200, caller.request("GET", "/preview").status);
    }
    fixture.targets.runOnTarget(0, [](auto &server) { CHECK_EQUAL(0, server.counters().executions); });
}

TEST(Verdicts, NonIdempotentRequestCompletesAfterCallerDisconnects)
{
    TestCaller caller(fixture.port());
    caller.send("POST /proof?delay=50&size=200000 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    CHECK(eventually([&] { return fixture.targets.executions() == 1; }));
    caller.disconnect();
    CHECK(eventually([&] { return fixture.plane->targetCounters().answered.load() == 1; }));
}
