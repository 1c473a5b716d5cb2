#include "../gateway/testcaller.h"
#include "../processes/cluster.h"
#include "crowd.h"
#include "endlessanswers.h"
#include "footprint.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <unistd.h>

#include <chrono>
#include <exception>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

using namespace std::chrono_literals;

namespace
{

constexpr std::size_t MaxGrowth = 32U << 20U;
constexpr std::size_t MaxDescriptors = 300;
constexpr std::size_t BodyBytes = 8'000'000; // a legal size
constexpr std::size_t MissingBytes = 25'000;
constexpr std::size_t Requests = 24;
constexpr auto AnswerTime = 10s; // for a neighbour that is asked seldom
constexpr auto HoldTime = 500ms;

constexpr const char *Bin = RHUBARBCRANK_BIN;

// Bodies are kept whole for another attempt; connections are few.
const std::string Settings = "[requests]\nresend_limit_bytes = 8388608\n";

// What the process is told that all requests may hold, where it knows such a limit.
constexpr std::size_t KeptBytes = 8U << 20U;
constexpr std::size_t ReceivedBytes = 8U << 20U;
constexpr std::size_t TrailerBytes = 1'000'000; // a legal size with the limit of that test

std::string requestHead(std::string_view field)
{
    return fmt::format("POST /preview HTTP/1.1\r\nHost: a\r\n{}\r\n\r\n", field);
}

bool isServed(Cluster &cluster)
{
    return eventually([&] {
        try {
            const auto answer = TestCaller(cluster.callersPort(0)).request("GET", "/preview");
            return answer.status == 200 && answer.isComplete;
        } catch (const std::exception &) {
            return false;
        }
    });
}

enum class Door { Callers, Operators };

void check(Cluster &cluster, const Attack &attack, Door door = Door::Callers)
{
    Process &daemon = cluster.daemon(0);
    const Footprint before = footprintOf(daemon.id());
    Crowd crowd(door == Door::Callers ? cluster.callersPort(0) : cluster.operatorsPort(0), attack);
    crowd.send();
    std::this_thread::sleep_for(HoldTime);
    const Footprint after = footprintOf(daemon.id());
    fmt::print("{} bytes sent; peak {} MB, then {} MB; descriptors {}, then {}\n",
               crowd.sentBytes(),
               before.peakBytes >> 20U,
               after.peakBytes >> 20U,
               before.descriptors,
               after.descriptors);
    CHECK_FALSE(daemon.hasEnded());
    CHECK(isServed(cluster));
    CHECK_COMPARE(footprintOf(daemon.id()).peakBytes, <=, before.peakBytes + MaxGrowth);
    CHECK_COMPARE(after.descriptors, <=, MaxDescriptors);
}

void check(const Attack &attack, Door door = Door::Callers)
{
    Cluster cluster;
    CHECK(cluster.start({.daemons = 1, .targetFaults = {"none"}, .settings = Settings}));
    check(cluster, attack, door);
}

// A build from before a setting refuses it, and is given none.
std::string settingIfKnown(const std::string &key, std::size_t value)
{
    const auto files = std::filesystem::temp_directory_path() / fmt::format("hostilecallers-{}", ::getpid());
    Process print({fmt::format("{}/rhubarbcrankd", Bin), "--print-settings"}, files);
    const bool isKnown = print.wait() == 0 && print.output().find(key) != std::string::npos;
    std::filesystem::remove(files.string() + ".out");
    std::filesystem::remove(files.string() + ".log");
    return isKnown ? fmt::format("{} = {}\n", key, value) : "";
}

void checkEndlessAnswers(Cluster &cluster, EndlessAnswers &answers)
{
    Process &daemon = cluster.daemon(0);
    const Footprint before = footprintOf(daemon.id());
    answers.begin();
    Crowd crowd(cluster.callersPort(0),
                {.connections = Requests, .opening = "GET /preview HTTP/1.1\r\nHost: a\r\n\r\n"});
    crowd.send();
    eventually([&] { return answers.isSpent(); }, AnswerTime);
    const Footprint after = footprintOf(daemon.id());
    fmt::print("{} answers, {} refused, {} bytes sent; peak {} MB, then {} MB; descriptors {}, then {}\n",
               answers.answers(),
               answers.refusals(),
               answers.sentBytes(),
               before.peakBytes >> 20U,
               after.peakBytes >> 20U,
               before.descriptors,
               after.descriptors);
    answers.end();
    CHECK_COMPARE(answers.answers(), >, 0);
    CHECK_FALSE(daemon.hasEnded());
    CHECK(isServed(cluster));
    CHECK_COMPARE(footprintOf(daemon.id()).peakBytes, <=, before.peakBytes + MaxGrowth);
    CHECK_COMPARE(after.descriptors, <=, MaxDescriptors);
}

} // namespace

TEST_GROUP(HostileCallers){};

TEST(HostileCallers, TrailersWithoutEnd)
{
    check({.connections = 8,
           .opening = requestHead("Transfer-Encoding: chunked") + "2\r\n{}\r\n0\r\n",
           .repeated = "X-Trailer: " + std::string(1000, 'x') + "\r\n",
           .bytes = 8U << 20U});
}

TEST(HostileCallers, AChunkExtensionWithoutEnd)
{
    check({.connections = 8,
           .opening = requestHead("Transfer-Encoding: chunked") + "2;name=",
           .repeated = std::string(1000, 'x'),
           .bytes = 8U << 20U});
}

TEST(HostileCallers, TrailersWithoutEndAtTheOperatorsDoor)
{
    check({.connections = 8,
           .opening = "POST /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
           .repeated = "X-Trailer: " + std::string(1000, 'x') + "\r\n",
           .bytes = 8U << 20U},
          Door::Operators);
}

TEST(HostileCallers, BodiesAnnouncedFarOverTheLimit)
{
    check({.connections = 20,
           .opening = requestHead("Content-Length: 8000000000"),
           .repeated = std::string(1000, ' '),
           .bytes = 4U << 20U});
}

TEST(HostileCallers, ChunkedBodiesWithoutEnd)
{
    check({.connections = 8,
           .opening = requestHead("Transfer-Encoding: chunked"),
           .repeated = "400\r\n" + std::string(1024, ' ') + "\r\n",
           .bytes = 16U << 20U});
}

TEST(HostileCallers, LegalBodiesThatStopShort)
{
    check({.connections = 12,
           .opening = requestHead(fmt::format("Content-Length: {}", BodyBytes)),
           .repeated = std::string(1000, ' '),
           .bytes = BodyBytes - MissingBytes});
}

// The target takes them, but they are kept as it may fail.
TEST(HostileCallers, LegalBodiesThatAreKeptForAnotherAttempt)
{
    Cluster cluster;
    CHECK(cluster.start({.daemons = 1,
                         .targetFaults = {"mute", "none"},
                         .settings = Settings + settingIfKnown("resend_total_bytes", KeptBytes)}));
    check(cluster,
          {.connections = 12,
           .opening = requestHead(fmt::format("Content-Length: {}", BodyBytes)),
           .repeated = std::string(1000, ' '),
           .bytes = BodyBytes - MissingBytes});
}

TEST(HostileCallers, LegalTrailersThatStopShort)
{
    Cluster cluster;
    CHECK(cluster.start({.daemons = 1,
                         .targetFaults = {"none"},
                         .callersSettings = "header_limit_bytes = 1048576\n"
                             + settingIfKnown("receive_limit_bytes", ReceivedBytes)}));
    check(cluster,
          {.connections = 60,
           .opening = requestHead("Transfer-Encoding: chunked") + "2\r\n{}\r\n0\r\n",
           .repeated = "X-Trailer: " + std::string(1000, 'x') + "\r\n",
           .bytes = TrailerBytes});
}

TEST(HostileCallers, TrailersWithoutEndFromATarget)
{
    EndlessAnswers target;
    Cluster cluster;
    CHECK(
        cluster.start({.daemons = 1, .targetFaults = {"none", "none"}, .targetPorts = {{1, target.port()}}}));
    checkEndlessAnswers(cluster, target);
}

TEST(HostileCallers, TrailersWithoutEndFromThePlatform)
{
    std::unique_ptr<EndlessAnswers> platform;
    Cluster cluster;
    const auto front = [&platform](std::uint16_t port) {
        platform = std::make_unique<EndlessAnswers>(port);
        return platform->port();
    };
    CHECK(cluster.start({.daemons = 1, .targetFaults = {"none"}, .platformFront = front}));
    checkEndlessAnswers(cluster, *platform);
}

TEST(HostileCallers, TrailersWithoutEndFromTheCollectorOfTraces)
{
    EndlessAnswers collector;
    Cluster cluster;
    CHECK(cluster.start({.daemons = 1,
                         .targetFaults = {"none"},
                         .settings = fmt::format("[telemetry]\ntraces_address = 127.0.0.1:{}\n"
                                                 "trace_sample_per_mille = 1000\n",
                                                 collector.port())}));
    checkEndlessAnswers(cluster, collector);
}
