#include "planefixture.h"
#include "testcaller.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <thread>

using namespace std::chrono_literals;

TEST_GROUP(Framing)
{
    PlaneFixture fixture;

    void setup() override
    {
        fixture.callerLimits.headerBytes = 4096;
        fixture.callerLimits.bodyBytes = 100000;
        fixture.start();
    }

    /// Sends the bytes and expects this status with the verdict not-run and no execution on any target.
    void expectRefused(unsigned status, const std::string &bytes)
    {
        TestCaller caller(fixture.port());
        caller.send(bytes);
        const auto answer = caller.read();
        CHECK_EQUAL(status, answer.status);
        CHECK(answer.isComplete);
        STRCMP_EQUAL("not-run", answer.verdict().c_str());
        CHECK_EQUAL(0, fixture.targets.executions());
    }
};

TEST(Framing, ContentLengthWithTransferEncodingIsRefused)
{
    expectRefused(400,
                  "POST /proof HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "0\r\n\r\n");
}

TEST(Framing, DuplicateContentLengthsAreRefusedEvenWhenEqual)
{
    expectRefused(400, "POST /proof HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab");
    expectRefused(400,
                  "POST /proof HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc");
}

TEST(Framing, UnknownTransferEncodingIsRefused)
{
    expectRefused(501,
                  "POST /proof HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n");
}

// The parser treats a request with a transfer coding other than "chunked" as one without a body. The bytes of
// the body were therefore parsed as a second request and got a response of their own.
TEST(Framing, BodyAfterUnknownTransferEncodingIsNotParsedAsRequest)
{
    TestCaller caller(fixture.port());
    caller.send("POST /proof HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nslate, serif\r\n\r\n");
    CHECK_EQUAL(501, caller.read().status);
    CHECK(caller.isClosed());
}

TEST(Framing, MalformedRequestsAreRefused)
{
    expectRefused(400, "rhubarb\r\n\r\n");
    expectRefused(400, "GET /preview HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n");
    expectRefused(400, "GET preview HTTP/1.1\r\nHost: a\r\n\r\n");
    expectRefused(400, "GET /preview HTTP/1.1\r\n\r\n");
    expectRefused(505, "GET /preview HTTP/1.0\r\nHost: a\r\n\r\n");
    expectRefused(501, "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n");
}

TEST(Framing, TooLargeHeaderIsRefused)
{
    expectRefused(431, "GET /preview HTTP/1.1\r\nHost: a\r\nX: " + std::string(8000, 'x') + "\r\n\r\n");
}

// Eight connections that sent trailers, or the extension of a chunk, without end took the memory of a
// process.
TEST(Framing, TooLargeTrailersAndChunkExtensionsAreRefused)
{
    const std::string head = "POST /proof HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    expectRefused(431, head + "2\r\n{}\r\n0\r\nX: " + std::string(200'000, 'x'));
    expectRefused(431, head + "2;name=" + std::string(200'000, 'x'));
}

TEST(Framing, TooLargeBodyIsRefused)
{
    expectRefused(413, "POST /proof HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n");
}

TEST(Framing, TooSlowRequestIsRefused)
{
    expectRefused(408, "GET /preview HTTP/1.1\r\nHost:");
    expectRefused(408, "POST /proof HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
}

TEST(Framing, UnknownServiceIsRefused)
{
    expectRefused(404, "GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n");
}

TEST(Framing, MalformedControlFieldsAreRefused)
{
    expectRefused(400, "GET /preview HTTP/1.1\r\nHost: a\r\nRhubarbcrank-Deadline-Ms: soon\r\n\r\n");
    expectRefused(400, "GET /preview HTTP/1.1\r\nHost: a\r\nRhubarbcrank-Priority: first\r\n\r\n");
    expectRefused(400,
                  "POST /proof HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 1\r\nIdempotency-Key: 2\r\n"
                  "Content-Length: 0\r\n\r\n");
}

TEST(Framing, PipelinedRequestsAreAnsweredInOrder)
{
    TestCaller caller(fixture.port());
    caller.send("GET /preview?delay=50 HTTP/1.1\r\nHost: a\r\nX-Request: first\r\n\r\n"
                "GET /preview HTTP/1.1\r\nHost: a\r\nX-Request: second\r\n\r\n");
    STRNCMP_EQUAL("first\n", caller.read().body.c_str(), 6);
    STRNCMP_EQUAL("second\n", caller.read().body.c_str(), 7);
}

TEST(Framing, HopByHopFieldsAreNotForwarded)
{
    TestCaller caller(fixture.port());
    const auto answer = caller.request(
        "GET", "/preview", "Connection: keep-alive, X-Private\r\nX-Private: 1\r\nX-Request: a\r\n");
    CHECK_EQUAL(200, answer.status);
}

TEST_GROUP(UnfinishedRequests)
{
    PlaneFixture fixture;

    const std::string start = "POST /proof HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "2;extension="
        + std::string(40'000, 'x');
    const std::string end = "\r\n{}\r\n0\r\n\r\n";
    const std::string body = "POST /proof HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n";

    void startPlane(std::size_t receivedBytes)
    {
        fixture.callerLimits.receivedBytes = receivedBytes;
        fixture.callerLimits.bodyTimeout = 5s;
        fixture.start();
    }
};

// Many connections whose trailers stopped just short of their end took the memory of a process.
TEST(UnfinishedRequests, TheOneThatHeldMostIsRefusedAsNotRun)
{
    startPlane(100'000);
    TestCaller first(fixture.port());
    first.send(start);
    std::this_thread::sleep_for(100ms);
    TestCaller second(fixture.port());
    second.send(start);
    const auto refusal = first.read();
    CHECK_EQUAL(503, refusal.status);
    STRCMP_EQUAL("not-run", refusal.verdict().c_str());
    STRCMP_EQUAL("1", refusal.fields.at("Retry-After").c_str());
    CHECK(first.isClosed());
    second.send(end);
    const auto answer = second.read();
    CHECK_EQUAL(200, answer.status);
    CHECK_EQUAL(1, fixture.targets.executions());
}

TEST(UnfinishedRequests, TheOneThatATargetHasAPartOfIsClosed)
{
    startPlane(30'000);
    TestCaller first(fixture.port());
    first.send(body + std::string(20'000, 'x'));
    std::this_thread::sleep_for(100ms);
    TestCaller second(fixture.port());
    second.send(body + std::string(20'000, 'x'));
    CHECK(first.isClosed());
    second.send(std::string(20'000, 'x'));
    const auto answer = second.read();
    CHECK_EQUAL(200, answer.status);
    CHECK_EQUAL(1, fixture.targets.executions());
}

TEST(UnfinishedRequests, TheOnlyOneIsServed)
{
    startPlane(1000);
    TestCaller caller(fixture.port());
    caller.send(start);
    std::this_thread::sleep_for(100ms);
    caller.send(end);
    const auto answer = caller.read();
    CHECK_EQUAL(200, answer.status);
    const auto next = caller.request("GET", "/preview");
    CHECK_EQUAL(200, next.status);
}
