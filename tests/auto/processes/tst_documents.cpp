#include "cluster.h"
#include "proofcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

TEST_GROUP(Documents)
{
    Cluster cluster;
    std::vector<std::uint64_t> highest; ///< document offset seen on each daemon

    /// Notes every daemon's document offset; false when one is behind what it had before. One that isn't
    /// ready, or doesn't answer, has nothing in force.
    bool noteOffsets()
    {
        highest.resize(2);
        bool neverBack = true;
        for (std::size_t n = 0; n < highest.size(); ++n) {
            const auto offset =
                cluster.statusOf(n, "is_ready") == 1 ? cluster.statusOf(n, "document_offset") : 0;
            neverBack = neverBack && (offset == 0 || offset >= highest[n]);
            highest[n] = std::max(highest[n], offset);
        }
        return neverBack;
    }

    void expectInForce(std::uint64_t offset)
    {
        bool neverBack = true;
        CHECK(eventually([&] {
            neverBack = neverBack && noteOffsets();
            return cluster.statusOf(0, "document_offset") == offset
                && cluster.statusOf(1, "document_offset") == offset && cluster.isReady(0)
                && cluster.isReady(1);
        }));
        CHECK(neverBack);
    }

    static std::uint64_t acceptedOffset(const Process &publish)
    {
        const std::string text = publish.output();
        const std::string_view before = "accepted at offset ";
        const auto at = text.find(before);
        return at == std::string::npos ? 0 : std::stoull(text.substr(at + before.size()));
    }

    std::uint64_t publishAndWait(int moves)
    {
        const auto publish = cluster.publish(moves);
        CHECK_EQUAL(0, publish->wait().value_or(-1));
        return acceptedOffset(*publish);
    }
};

TEST(Documents, AreInForceEverywhereThoughTheLogIsSlowOrLosesItsAnswers)
{
    CHECK(cluster.start());
    int moves = 2;
    for (const char *it : {R"({"slow_ms":500})",
                           R"({"lose_every":1})",
                           R"({"lose_every":1,"late_ms":700})",
                           R"({"repeat_answers":true,"duplicate_appends":true,"lose_every":2})"}) {
        CHECK(cluster.setFaults(it));
        const auto offset = publishAndWait(moves++);
        CHECK(offset > 0);
        expectInForce(offset);
    }
}

// Each was made from the document that was in force before either.
TEST(Documents, OfTwoRacingPublishersOneIsToldWhatItCollidedWith)
{
    CHECK(cluster.start());
    for (int n = 0; n < 5; ++n) {
        const auto base = fmt::format("--base={}", cluster.statusOf(0, "document_offset"));
        CHECK(cluster.setFaults(R"({"slow_ms":100})"));
        const auto one = cluster.publish(10 + 2 * n, {base, "--comment=one"});
        const auto other = cluster.publish(11 + 2 * n, {base, "--comment=other"});
        const auto first = one->wait().value_or(-1);
        const auto second = other->wait().value_or(-1);
        CHECK_EQUAL(1, first + second);
        CHECK(first == 0 || second == 0);
        const Process &winner = first == 0 ? *one : *other;
        const Process &loser = first == 0 ? *other : *one;
        STRCMP_CONTAINS(first == 0 ? ": one" : ": other", (loser.output() + loser.log()).c_str());
        STRCMP_CONTAINS("changed by both", (loser.output() + loser.log()).c_str());
        STRCMP_CONTAINS("moves", (loser.output() + loser.log()).c_str());
        CHECK(cluster.setFaults("{}"));
        expectInForce(acceptedOffset(winner));
    }
}

TEST(Documents, AFreshDaemonComesUpWithTheDocumentInForce)
{
    CHECK(cluster.start());
    for (int n = 0; n < 3; ++n) {
        const auto offset = publishAndWait(20 + n);
        expectInForce(offset);
        cluster.daemon(0).kill();
        cluster.startDaemon(0);
        CHECK(eventually([&] { return cluster.isReady(0); }));
        CHECK_EQUAL(offset, cluster.statusOf(0, "document_offset"));
        CHECK(tell(cluster.callersPort(0), "POST", "/proofs", "", fmt::format("fresh{}", n)).isAnswered());
    }
}

TEST(Documents, AFreshDaemonIsNotReadyBeforeItHasReachedTheLog)
{
    CHECK(cluster.start());
    const auto offset = publishAndWait(30);
    expectInForce(offset);
    CHECK(cluster.setFaults(R"({"out":true})"));
    cluster.daemon(0).kill();
    cluster.startDaemon(0);
    const auto early = tell(cluster.callersPort(0), "POST", "/proofs", "", "early");
    STRCMP_EQUAL("not-run", early.answer.verdict().c_str());
    CHECK(!cluster.isReady(0));
    CHECK(cluster.setFaults("{}"));
    expectInForce(offset);
}

TEST(Documents, AFrozenDaemonCatchesUpWhenItIsResumed)
{
    CHECK(cluster.start());
    expectInForce(publishAndWait(40));
    cluster.daemon(0).signal(SIGSTOP);
    std::uint64_t offset = 0;
    for (int n = 0; n < 5; ++n) {
        offset = publishAndWait(41 + n);
    }
    cluster.daemon(0).signal(SIGCONT);
    expectInForce(offset);
}

TEST(Documents, WithTheLogOutDaemonsGoOnServing)
{
    CHECK(cluster.start());
    const auto offset = publishAndWait(50);
    expectInForce(offset);
    for (const char *it : {R"({"out":true})", R"({"silent":true})"}) {
        CHECK(cluster.setFaults(it));
        for (int n = 0; n < 50; ++n) {
            CHECK(
                tell(cluster.callersPort(n % 2), "POST", "/proofs", "", fmt::format("m{}", n)).isAnswered());
        }
        const auto refused = cluster.publish(51, {"--timeout-ms=500"});
        CHECK_EQUAL(3, refused->wait().value_or(-1));
        CHECK(noteOffsets());
        CHECK(cluster.isReady(0) && cluster.isReady(1));
        CHECK(cluster.setFaults("{}"));
        expectInForce(offset);
    }
}
