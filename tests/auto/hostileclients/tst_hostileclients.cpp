#include "crowd.h"
#include "jobinstance.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>

using namespace std::chrono_literals;

namespace
{

using Door = JobInstance::Door;
using Neighbour = JobInstance::Neighbour;

// How much an attack may add to the memory of a process on a machine of 64 MB.
constexpr std::size_t MaxGrowth = 32U << 20U;
constexpr std::size_t MaxDescriptors = 300;

constexpr std::size_t BodyBytes = 1'000'000; // a legal size
constexpr std::size_t MissingBytes = 25'000;
constexpr std::size_t Jobs = 24;
constexpr auto AnswerTime = 10s; // for a neighbour that is asked seldom
constexpr auto HoldTime = 500ms; // that connections stay open when all is sent

std::string requestHead(std::string_view field)
{
    return fmt::format("POST /preview-slate/00000000000000ff HTTP/1.1\r\nHost: soak.example\r\n"
                       "Content-Type: application/json\r\n{}\r\n\r\n",
                       field);
}

Attack unfinishedBodies()
{
    return {.connections = 60,
            .opening = requestHead(fmt::format("Content-Length: {}", BodyBytes)),
            .repeated = std::string(1000, ' '),
            .bytes = BodyBytes - MissingBytes};
}

Attack trailersWithoutEnd(const std::string &start)
{
    return {.connections = 8,
            .opening = start + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
            .repeated = "X-Trailer: " + std::string(1000, 'x') + "\r\n",
            .bytes = 8U << 20U};
}

void check(Door door, const Attack &attack, std::size_t padding = 0)
{
    JobInstance instance;
    CHECK(instance.start(padding));
    const Footprint before = instance.footprint();
    Crowd crowd(instance.port(door), attack);
    crowd.send();
    std::this_thread::sleep_for(HoldTime);
    const Footprint after = instance.footprint();
    fmt::print("{} bytes sent; peak {} MB, then {} MB; descriptors {}, then {}\n",
               crowd.sentBytes(),
               before.peakBytes >> 20U,
               after.peakBytes >> 20U,
               before.descriptors,
               after.descriptors);
    CHECK(instance.isAlive());
    CHECK(instance.acceptsJob());
    CHECK_COMPARE(instance.footprint().peakBytes, <=, before.peakBytes + MaxGrowth);
    CHECK_COMPARE(after.descriptors, <=, MaxDescriptors);
}

void checkEndlessAnswers(Neighbour neighbour)
{
    JobInstance instance;
    EndlessAnswers &answers = instance.replace(neighbour);
    CHECK(instance.start());
    const Footprint before = instance.footprint();
    answers.begin();
    instance.handInJobs(Jobs);
    eventually([&] { return answers.isSpent(); }, AnswerTime);
    const Footprint after = instance.footprint();
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
    CHECK(instance.isAlive());
    CHECK(instance.acceptsJob());
    CHECK_COMPARE(instance.footprint().peakBytes, <=, before.peakBytes + MaxGrowth);
    CHECK_COMPARE(after.descriptors, <=, MaxDescriptors);
}

} // namespace

TEST_GROUP(HostileClients){};

TEST(HostileClients, TrailersWithoutEnd)
{
    check(Door::Callers,
          {.connections = 8,
           .opening = requestHead("Transfer-Encoding: chunked") + "2\r\n{}\r\n0\r\n",
           .repeated = "X-Trailer: " + std::string(1000, 'x') + "\r\n",
           .bytes = 8U << 20U});
}

TEST(HostileClients, TrailersWithoutEndAtThePeersDoor)
{
    check(Door::Peers, trailersWithoutEnd("POST /jobs HTTP/1.1\r\nHost: a\r\n"));
}

TEST(HostileClients, TrailersWithoutEndAtTheOperatorsDoor)
{
    check(Door::Operators, trailersWithoutEnd("GET /metrics HTTP/1.1\r\nHost: a\r\n"));
}

TEST(HostileClients, TrailersWithoutEndAtTheReadinessDoor)
{
    check(Door::Readiness, trailersWithoutEnd("GET /readyz HTTP/1.1\r\nHost: a\r\n"));
}

TEST(HostileClients, AChunkExtensionWithoutEnd)
{
    check(Door::Callers,
          {.connections = 8,
           .opening = requestHead("Transfer-Encoding: chunked") + "2;name=",
           .repeated = std::string(1000, 'x'),
           .bytes = 8U << 20U});
}

TEST(HostileClients, AHeaderWithoutEnd)
{
    check(Door::Callers,
          {.connections = 8,
           .opening = "POST / HTTP/1.1\r\n",
           .repeated = "X-Header: " + std::string(1000, 'x') + "\r\n",
           .bytes = 8U << 20U});
}

TEST(HostileClients, BodiesAnnouncedFarOverTheLimit)
{
    check(Door::Callers,
          {.connections = 20,
           .opening = requestHead("Content-Length: 8000000000"),
           .repeated = std::string(1000, ' '),
           .bytes = 4U << 20U});
}

TEST(HostileClients, ChunkedBodiesWithoutEnd)
{
    check(Door::Callers,
          {.connections = 20,
           .opening = requestHead("Transfer-Encoding: chunked"),
           .repeated = "400\r\n" + std::string(1024, ' ') + "\r\n",
           .bytes = 4U << 20U});
}

TEST(HostileClients, LegalBodiesThatStopShort)
{
    check(Door::Callers, unfinishedBodies());
}

TEST(HostileClients, LegalBodiesPieceByPiece)
{
    Attack attack = unfinishedBodies();
    attack.opening = requestHead("Transfer-Encoding: chunked");
    attack.repeated = "3e8\r\n" + std::string(1000, ' ') + "\r\n";
    attack.step = 4000;
    check(Door::Callers, attack);
}

TEST(HostileClients, LegalBodiesAtThePeersDoor)
{
    check(Door::Peers, unfinishedBodies());
}

TEST(HostileClients, LegalBodiesAtTheOperatorsDoor)
{
    check(Door::Operators, unfinishedBodies());
}

TEST(HostileClients, AnswersThatAreNeverRead)
{
    check(Door::Peers,
          {.connections = 60, .opening = "GET /configuration/0 HTTP/1.1\r\nHost: a\r\n\r\n"},
          700'000);
}

// Each stage takes three bytes to send.
TEST(HostileClients, AJobOfEmptyStages)
{
    constexpr std::size_t Stages = 300'000;
    std::string body = R"({"Spec":"proof","Phases":[{})";
    for (std::size_t n = 1; n < Stages; ++n) {
        body += ",{}";
    }
    body += "]}";
    check(Door::Callers,
          {.connections = 4,
           .opening = requestHead(fmt::format("Content-Length: {}", body.size())
                                  + "\r\nX-Api-Key: key-of-workspace-0")
               + body});
}

TEST(HostileClients, MoreConnectionsThanDescriptors)
{
    check(Door::Callers, {.connections = 320, .opening = "GET"});
}

TEST(HostileClients, TrailersWithoutEndFromTheStore)
{
    checkEndlessAnswers(Neighbour::Store);
}

TEST(HostileClients, TrailersWithoutEndFromWorkers)
{
    checkEndlessAnswers(Neighbour::Workers);
}

TEST(HostileClients, TrailersWithoutEndFromAPeer)
{
    checkEndlessAnswers(Neighbour::Peer);
}

TEST(HostileClients, TrailersWithoutEndFromTheMachinesService)
{
    checkEndlessAnswers(Neighbour::Machines);
}

TEST(HostileClients, TrailersWithoutEndFromTheAdviceService)
{
    checkEndlessAnswers(Neighbour::Advice);
}
