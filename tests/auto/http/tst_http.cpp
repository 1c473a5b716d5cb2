#include <http/client.h>
#include <http/server.h>
#include <runtime/eventloopthread.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

// Client and server on one event loop, over loopback.
struct Loop {
    explicit Loop(const Http::ClientLimits &limits = {})
        : client(context, timers, limits)
    {
    }

    void serve(Http::Server::Handler handler,
               const Http::ServerLimits &limits = {},
               std::shared_ptr<Http::ConnectionGuard> guard = nullptr)
    {
        server = std::make_unique<Http::Server>(
            context, timers, Ini::Endpoint{"127.0.0.1", 0}, limits, std::move(handler), std::move(guard));
        endpoint = {"127.0.0.1", server->port()};
    }

    template<typename Done>
    void runUntil(Done done, std::chrono::milliseconds most = 5s)
    {
        const auto end = std::chrono::steady_clock::now() + most;
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(2ms);
            timers.advanceTo(clock());
        }
    }

    std::optional<Http::Outcome> call(Http::Request request, Base::Duration timeout = 2s)
    {
        std::optional<Http::Outcome> outcome;
        client.send(
            endpoint, std::move(request), timeout, [&](Http::Outcome it) { outcome = std::move(it); });
        runUntil([&] { return outcome.has_value(); });
        return outcome;
    }

    static Base::Instant clock()
    {
        return std::chrono::time_point_cast<Base::Duration>(std::chrono::steady_clock::now());
    }

    boost::asio::io_context context;
    Base::TimerService timers{&clock};
    Http::Client client;
    std::unique_ptr<Http::Server> server;
    Ini::Endpoint endpoint;
};

Http::Request post(std::string body)
{
    Http::Request request;
    request.method = "POST";
    request.target = "/echo";
    request.fields = {{"Deadline-Ms", "700"}};
    request.body = std::move(body);
    return request;
}

} // namespace

TEST_GROUP(Http){};

TEST(Http, ARequestAndItsResponseArriveWhole)
{
    Loop loop;
    loop.serve([](const Http::Request &request, const Http::Responder &respond) {
        respond({.status = 201,
                 .fields = {{"X-Deadline", std::string(request.field("deadline-ms"))}},
                 .body = request.method + request.target + request.body});
    });
    const std::string body(100'000, 'x');
    const auto outcome = loop.call(post(body));
    CHECK(outcome && outcome->response);
    LONGS_EQUAL(201, outcome->response->status);
    STRCMP_EQUAL("700", std::string(outcome->response->field("x-deadline")).c_str());
    CHECK(outcome->response->body == "POST/echo" + body);
}

TEST(Http, AConnectionIsKeptForTheNextRequest)
{
    Loop loop;
    loop.serve([](const Http::Request &, const Http::Responder &respond) { respond({}); });
    for (int n = 0; n < 5; ++n) {
        CHECK(loop.call(post("a"))->response.has_value());
    }
    LONGS_EQUAL(1, loop.client.connectionsOpened());
}

TEST(Http, WithoutAServerNothingCanHaveRun)
{
    Loop loop;
    loop.serve([](const Http::Request &, const Http::Responder &respond) { respond({}); });
    loop.server.reset();
    const auto outcome = loop.call(post("a"));
    CHECK(outcome && !outcome->response);
    CHECK(outcome->verdict == Base::Verdict::NotRun);
}

// A connection that went silent is found by the request's own time, and never used again.
TEST(Http, ARequestWithoutAnswerMayHaveRunAndItsConnectionIsGivenUp)
{
    Loop loop;
    std::vector<Http::Responder> held;
    loop.serve([&](const Http::Request &, Http::Responder respond) { held.push_back(std::move(respond)); });
    const auto outcome = loop.call(post("a"), 100ms);
    CHECK(outcome && !outcome->response);
    CHECK(outcome->verdict == Base::Verdict::MayHaveRun);
    loop.server.reset();
    held.clear();
    loop.serve([](const Http::Request &, const Http::Responder &respond) { respond({}); });
    CHECK(loop.call(post("b"))->response.has_value());
    LONGS_EQUAL(2, loop.client.connectionsOpened());
}

// Red: sixteen connections a member filled the sixty-four that a worker takes, when members had lost power
// and theirs stood open (UNASKED and LOST on a hunted day of plaquewright-prod).
// A call that is repeated elsewhere must not keep its connection until its timeout.
TEST(Http, AnAbandonedCallIsNotCalledBackAndItsPlaceIsFree)
{
    Loop loop({.connectionsPerServer = 1});
    std::vector<Http::Responder> unanswered;
    loop.serve([&](const Http::Request &request, Http::Responder respond) {
        if (request.body == "c") {
            respond({});
        } else {
            unanswered.push_back(std::move(respond));
        }
    });
    bool isCalledBack = false;
    const auto count = [&](const Http::Outcome &) {
        isCalledBack = true;
    };
    const auto running = loop.client.send(loop.endpoint, post("a"), 60s, count);
    const auto waiting = loop.client.send(loop.endpoint, post("b"), 60s, count);
    loop.runUntil([] { return false; }, 50ms);
    loop.client.abandon(loop.endpoint, waiting);
    loop.client.abandon(loop.endpoint, running);
    loop.client.abandon(loop.endpoint, running);
    const auto outcome = loop.call(post("c"));
    CHECK(outcome && outcome->response);
    CHECK(!isCalledBack);
}

TEST(Http, ConnectionsToOneServerAreLimitedAndIdleOnesAreClosed)
{
    Http::ClientLimits limits;
    limits.connectionsPerServer = 2;
    limits.idleTimeout = 50ms;
    Loop loop(limits);
    loop.serve([](const Http::Request &, const Http::Responder &respond) { respond({}); });
    int answered = 0;
    for (int n = 0; n < 20; ++n) {
        loop.client.send(
            loop.endpoint, post("a"), 2s, [&](const Http::Outcome &it) { answered += it.response ? 1 : 0; });
    }
    loop.runUntil([&] { return answered == 20; });
    LONGS_EQUAL(20, answered);
    LONGS_EQUAL(2, loop.client.connectionsOpened());
    loop.runUntil([] { return false; }, 100ms);
    loop.client.closeIdle();
    CHECK(loop.call(post("b"))->response.has_value());
    LONGS_EQUAL(3, loop.client.connectionsOpened());
}

TEST(Http, AServerThatDrainsAnswersWhatItHasAndTakesNoMore)
{
    Loop loop;
    std::optional<Http::Responder> held;
    loop.serve([&](const Http::Request &, Http::Responder respond) { held = std::move(respond); });
    std::optional<Http::Outcome> outcome;
    loop.client.send(loop.endpoint, post("a"), 2s, [&](Http::Outcome it) { outcome = std::move(it); });
    loop.runUntil([&] { return held.has_value(); });
    loop.server->drain();
    LONGS_EQUAL(1, loop.server->inFlight());
    (*held)({.status = 200});
    loop.runUntil([&] { return outcome.has_value(); });
    CHECK(outcome->response.has_value());
    LONGS_EQUAL(0, loop.server->inFlight());
    CHECK(loop.call(post("b"), 300ms)->verdict == Base::Verdict::NotRun);
}

// What follows a request that can't be read is no request: one answer, then the connection ends.
TEST(Http, ABadRequestGetsOneAnswer)
{
    struct Case {
        std::string text;
        std::string answer; ///< how it begins
    };
    const std::vector<Case> cases{
        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: bogus\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
         "HTTP/1.1 501"},
        {"NOT HTTP\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400"},
    };
    for (const Case &it : cases) {
        Loop loop;
        loop.serve([](const Http::Request &, const Http::Responder &respond) { respond({}); });
        tcp::socket socket(loop.context);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), loop.endpoint.port});
        boost::asio::write(socket, boost::asio::buffer(it.text));
        std::string answer;
        bool isClosed = false;
        boost::asio::async_read(socket,
                                boost::asio::dynamic_buffer(answer),
                                [&](boost::system::error_code, std::size_t) { isClosed = true; });
        loop.runUntil([&] { return isClosed; });
        CHECK(isClosed);
        STRCMP_EQUAL(it.answer.c_str(), answer.substr(0, it.answer.size()).c_str());
        CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    }
}

// What a connection sends, and what it gets until it is closed.
struct RawClient {
    explicit RawClient(Loop &loop)
        : m_loop(loop)
        , m_socket(loop.context)
    {
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), loop.endpoint.port});
        m_socket.non_blocking(true);
        boost::asio::async_read(m_socket,
                                boost::asio::dynamic_buffer(answer),
                                [this](boost::system::error_code, std::size_t) { isClosed = true; });
    }

    /// As much as is taken until the answer is there.
    std::size_t send(std::string_view text)
    {
        std::size_t sent = 0;
        m_loop.runUntil([&] {
            boost::system::error_code ec;
            sent += m_socket.send(boost::asio::buffer(text.data() + sent, text.size() - sent), 0, ec);
            return sent == text.size() || isClosed || (ec && ec != boost::asio::error::would_block);
        });
        return sent;
    }

    bool isAnswered(std::string_view status)
    {
        m_loop.runUntil([&] { return isClosed; });
        return isClosed && answer.rfind("HTTP/1.1 " + std::string(status), 0) == 0;
    }

    std::string answer;
    bool isClosed = false;

private:
    Loop &m_loop;
    tcp::socket m_socket;
};

// A process ran out of memory by trailers without end, and by bodies that were announced or just sent.
TEST(Http, WhatExceedsALimitGetsOneAnswerAndIsNotReadOn)
{
    constexpr std::size_t MaxTaken = 24U << 20U; // by both systems' buffers and while lingering
    struct Case {
        std::string opening;
        std::string repeated;
        std::string status;
    };
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string kilobyte(1024, 'x');
    const std::vector<Case> cases{
        {chunked + "0\r\n", "X-Trailer: " + kilobyte + "\r\n", "431"},
        {chunked + "2;name=", kilobyte, "431"},
        {"GET / HTTP/1.1\r\n", "X-Header: " + kilobyte + "\r\n", "431"},
        {chunked, "400\r\n" + kilobyte + "\r\n", "413"},
        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8000000000\r\n\r\n", kilobyte, "413"},
    };
    for (const Case &it : cases) {
        Loop loop;
        bool isHandled = false;
        loop.serve([&](const Http::Request &, const Http::Responder &) { isHandled = true; });
        std::string text = it.opening;
        while (text.size() < 2 * MaxTaken) {
            text += it.repeated;
        }
        RawClient client(loop);
        CHECK_COMPARE(client.send(text), <, MaxTaken);
        CHECK(client.isAnswered(it.status));
        CHECK_FALSE(isHandled);
    }
}

// Bodies of legal size, most of them not whole, filled the memory of a process.
TEST(Http, UnfinishedBodiesAreRefusedForWhatComesLater)
{
    Loop loop;
    const auto guard =
        std::make_shared<Http::ConnectionGuard>(loop.timers, Base::ConnectionLimits{.bytes = 8U << 20U});
    loop.serve([](const Http::Request &, const Http::Responder &respond) { respond({}); }, {}, guard);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t n = 0; n < 4; ++n) {
        clients.push_back(std::make_unique<RawClient>(loop));
        clients.back()->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
                             + std::string(900'000, 'x'));
    }
    CHECK(clients.front()->isAnswered("503"));
    CHECK(clients.front()->answer.find("Retry-After: 1") != std::string::npos);
    CHECK(loop.call(post(std::string(900'000, 'x')))->response->status == 200);
    CHECK_COMPARE(guard->shedConnections(Http::ShedReason::Receiving), >=, 2);
    CHECK_COMPARE(guard->budget().bytes(Base::Holding::Receiving), <=, 2U << 20U);
}

TEST(Http, ARequestForWhichThereIsNoMemoryIsNotHandled)
{
    Loop loop;
    const auto guard =
        std::make_shared<Http::ConnectionGuard>(loop.timers, Base::ConnectionLimits{.bytes = 4U << 20U});
    std::vector<Http::Responder> held;
    loop.serve([&](const Http::Request &, Http::Responder respond) { held.push_back(std::move(respond)); },
               {},
               guard);
    loop.client.send(loop.endpoint, post(std::string(900'000, 'x')), 2s, [](const Http::Outcome &) {});
    loop.runUntil([&] { return held.size() == 1; });
    const auto refused = loop.call(post(std::string(900'000, 'x')));
    LONGS_EQUAL(503, refused->response->status);
    STRCMP_EQUAL("1", std::string(refused->response->field("Retry-After")).c_str());
    LONGS_EQUAL(1, held.size());
    LONGS_EQUAL(1, guard->refusedRequests(Http::RefusalReason::NoMemory));
    std::optional<Http::Outcome> small;
    loop.client.send(loop.endpoint, post("a"), 2s, [&](Http::Outcome it) { small = std::move(it); });
    loop.runUntil([&] { return held.size() == 2; });
    held.back()({});
    loop.runUntil([&] { return small.has_value(); });
    LONGS_EQUAL(200, small->response->status);
}

TEST(Http, ANewConnectionTakesThePlaceOfAnIdleOne)
{
    Loop loop;
    const auto guard =
        std::make_shared<Http::ConnectionGuard>(loop.timers, Base::ConnectionLimits{.connections = 3});
    loop.serve([](const Http::Request &, const Http::Responder &respond) { respond({}); }, {}, guard);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t n = 0; n < 6; ++n) {
        clients.push_back(std::make_unique<RawClient>(loop));
        clients.back()->send("GET");
    }
    CHECK(loop.call(post("a"))->response.has_value());
    loop.runUntil([&] { return clients.front()->isClosed; });
    CHECK(clients.front()->isClosed);
    LONGS_EQUAL(3, guard->budget().connections());
    LONGS_EQUAL(4, guard->shedConnections(Http::ShedReason::Connections));
}

// A worker's or a peer's answer.
TEST(Http, TrailersOfAResponseHaveALimit)
{
    Loop loop;
    tcp::acceptor acceptor(loop.context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::optional<Http::Outcome> outcome;
    loop.client.send(Ini::Endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
                     {},
                     5s,
                     [&](Http::Outcome it) { outcome = std::move(it); });
    tcp::socket socket = acceptor.accept();
    socket.non_blocking(true);
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    while (text.size() < (16U << 20U)) {
        text += "X-Trailer: " + std::string(1000, 'x') + "\r\n";
    }
    std::size_t sent = 0;
    loop.runUntil([&] {
        boost::system::error_code ec;
        sent += socket.send(boost::asio::buffer(text.data() + sent, text.size() - sent), 0, ec);
        return outcome.has_value();
    });
    CHECK(outcome && !outcome->response && !outcome->isTimeout);
}

// A reset discards what is still on its way to the server.
TEST(Http, AConnectionWhoseRequestTimedOutIsReset)
{
    boost::asio::io_context context;
    Loop loop;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::optional<Http::Outcome> outcome;
    loop.client.send(Ini::Endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
                     post("start"),
                     50ms,
                     [&](Http::Outcome it) { outcome = std::move(it); });
    loop.runUntil([&] { return outcome.has_value(); });
    CHECK(outcome && outcome->isTimeout && outcome->verdict == Base::Verdict::MayHaveRun);
    tcp::socket socket = acceptor.accept();
    std::string received(4096, '\0');
    boost::system::error_code ec;
    while (!ec) {
        socket.read_some(boost::asio::buffer(received), ec);
    }
    CHECK(ec == boost::asio::error::connection_reset);
}

TEST(Http, ALargeBodyIsNotReadInManySmallSteps)
{
    constexpr std::size_t BodyBytes = 128U << 10U;
    constexpr std::size_t LeastStep = 4U << 10U;
    Loop loop;
    tcp::acceptor acceptor(loop.context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::optional<Http::Outcome> outcome;
    loop.client.send(Ini::Endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
                     {},
                     2s,
                     [&](Http::Outcome it) { outcome = std::move(it); });
    tcp::socket socket = acceptor.accept();
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes)
        + "\r\n\r\n" + std::string(BodyBytes, 'x');
    std::size_t handlers = 0;
    for (std::size_t sent = 0; !outcome;) {
        if (sent < response.size()) {
            sent += socket.send(boost::asio::buffer(response.data() + sent,
                                                    std::min(response.size() - sent, std::size_t{32768})));
        }
        loop.context.restart();
        handlers += loop.context.poll();
    }
    CHECK(outcome->response.has_value());
    LONGS_EQUAL(BodyBytes, outcome->response->body.size());
    CHECK_COMPARE(handlers, <, BodyBytes / LeastStep);
}

TEST(Http, OnlySilenceEndsAResponseThatKeepsArriving)
{
    constexpr auto Silence = 300ms;
    boost::asio::io_context context;
    Base::TimerService timers{Base::Instant{1h}};
    Http::Client client(context, timers, {});
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::optional<Http::Outcome> outcome;
    std::size_t progress = 0;
    client.send(
        Ini::Endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
        {},
        {10s, Silence},
        [&](std::size_t bytes) { progress = bytes; },
        [&](Http::Outcome it) { outcome = std::move(it); });
    tcp::socket socket = acceptor.accept();
    std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nxx";
    for (std::size_t sent = 2; sent < 20; sent += 2) {
        boost::asio::write(socket, boost::asio::buffer(part));
        while (progress < sent && !outcome) {
            context.restart();
            context.poll();
        }
        timers.advanceTo(timers.now() + Silence * 9 / 10);
        CHECK_FALSE(outcome.has_value());
        part = "xx";
    }
    timers.advanceTo(timers.now() + Silence);
    CHECK(outcome.has_value());
    CHECK(outcome->isTimeout);
    STRCMP_EQUAL("silence", outcome->failure.c_str());
    STRCMP_EQUAL(std::string(18, 'x').c_str(), outcome->partialBody.c_str());
}
