#include "cluster.h"
#include "proofcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <map>

TEST_GROUP(TargetFailures)
{
    Cluster cluster;
    std::vector<Told> told;

    /// Sends requests at once, each on a thread, and returns what they will be told.
    std::vector<std::future<Told>> sendAtOnce(int count, const std::string &method, const std::string &url)
    {
        std::vector<std::future<Told>> pending;
        pending.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            pending.push_back(std::async(std::launch::async, [=, port = cluster.callersPort(0)] {
                return tell(port, method, url, "", fmt::format("{}{}", method, n));
            }));
        }
        return pending;
    }

    void collect(std::vector<std::future<Told>> pending)
    {
        for (auto &it : pending) {
            told.push_back(it.get());
        }
    }

    std::size_t answered() const
    {
        return static_cast<std::size_t>(
            std::count_if(told.begin(), told.end(), [](const Told &it) { return it.isAnswered(); }));
    }

    void expectTruth()
    {
        STRCMP_EQUAL("", contradiction(told, cluster.executions()).c_str());
        for (const auto &it : told) {
            CHECK(it.answer.isComplete || it.answer.status == 0 || it.answer.status == 200);
        }
    }

    std::size_t mostExecutionsOfOneProof() const
    {
        std::map<std::string, std::size_t> proofs;
        for (const auto &it : cluster.executions()) {
            proofs[it.marker] += it.marker.starts_with("POST") ? 1 : 0;
        }
        const auto most = std::max_element(
            proofs.begin(), proofs.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        return most == proofs.end() ? 0 : most->second;
    }
};

// The connections are made by the target's backlog, and are reset when it is killed: whether it had read the
// requests can't be told.
TEST(TargetFailures, KilledBeforeItAccepts)
{
    CHECK(cluster.start({1, {"deaf", "none"}, {}}));
    auto proofs = sendAtOnce(20, "POST", "/proofs?delay=20");
    CHECK(eventually([&] { return cluster.statusOf(0, "attempts") >= 20; }));
    cluster.target(0).kill();
    collect(std::move(proofs));
    collect(sendAtOnce(20, "GET", "/preview"));
    expectTruth();
    CHECK_EQUAL(1, mostExecutionsOfOneProof());
    for (const auto &it : told) {
        CHECK(it.isAnswered() || it.answer.verdict() == "may-have-run");
        CHECK(it.isAnswered() || it.marker.starts_with("POST"));
    }
}

TEST(TargetFailures, AfterItWasKilledProofsGoToTheOther)
{
    CHECK(cluster.start({1, {"none", "none"}, {}}));
    cluster.target(0).kill();
    collect(sendAtOnce(10, "POST", "/proofs"));
    expectTruth();
    CHECK_EQUAL(10, answered());
    CHECK_EQUAL(10, cluster.executions().size());
}

TEST(TargetFailures, KilledAfterTheRequest)
{
    CHECK(cluster.start({1, {"die", "none", "none"}, {}}));
    collect(sendAtOnce(30, "POST", "/proofs?delay=20"));
    expectTruth();
    CHECK_EQUAL(1, mostExecutionsOfOneProof());
    CHECK(cluster.executionsOf("worker-0") >= 1);
    CHECK(answered() < 30);
    for (const auto &it : told) {
        CHECK(it.isAnswered() || it.answer.verdict() == "may-have-run");
    }
}

// No more at once than the retry budget holds at the start: more could be told that they failed.
TEST(TargetFailures, KilledAfterTheRequestAndIdempotentOnesAreAnsweredByAnother)
{
    CHECK(cluster.start({1, {"die", "none", "none"}, {}}));
    collect(sendAtOnce(10, "GET", "/preview?delay=20"));
    expectTruth();
    CHECK(cluster.executionsOf("worker-0") >= 1);
    CHECK_EQUAL(10, answered());
}

TEST(TargetFailures, KilledAndMoreIdempotentOnesAreInFlightThanTheRetryBudgetHolds)
{
    CHECK(cluster.start({1, {"die", "none", "none"}, {}}));
    collect(sendAtOnce(60, "GET", "/preview?delay=20"));
    expectTruth();
    CHECK(cluster.executionsOf("worker-0") >= 1);
    CHECK(answered() >= 20);
}

// What was sent of an answer can't be taken back: the caller's connection is cut, so that the half is not
// taken for the whole.
TEST(TargetFailures, KilledAfterHalfTheAnswer)
{
    CHECK(cluster.start({1, {"half", "none", "none"}, {}}));
    collect(sendAtOnce(30, "POST", "/proofs?delay=20"));
    expectTruth();
    CHECK_EQUAL(1, mostExecutionsOfOneProof());
    CHECK(cluster.executionsOf("worker-0") >= 1);
    CHECK(answered() < 30);
}

// Its connections are silent, then what it was sent takes effect late: nobody was told that it was not run.
TEST(TargetFailures, FrozenAndLaterResumed)
{
    CHECK(cluster.start({1, {"none", "none"}, "[targets]\nprogress_timeout_ms = 500\n"}));
    cluster.target(0).signal(SIGSTOP);
    auto previews = sendAtOnce(10, "GET", "/preview?delay=20");
    collect(sendAtOnce(20, "POST", "/proofs?delay=20"));
    collect(std::move(previews));
    CHECK_EQUAL(0, cluster.executionsOf("worker-0"));
    cluster.target(0).signal(SIGCONT);
    const auto unanswered = told.size() - answered();
    CHECK(unanswered > 0);
    CHECK(eventually([&] { return cluster.executionsOf("worker-0") >= unanswered; }));
    expectTruth();
    CHECK_EQUAL(1, mostExecutionsOfOneProof());
    for (const auto &it : told) {
        CHECK(it.isAnswered() || (it.marker.starts_with("POST") && it.answer.verdict() == "may-have-run"));
    }
}

TEST(TargetFailures, KilledWithKeyedProofsInFlight)
{
    CHECK(cluster.start({2, {"half", "die", "none", "none"}, {}}));
    told =
        runProofs(inTurn({cluster.callersPort(0), cluster.callersPort(1)}), {8, 5, 4, "/proofs?delay=5", {}});
    STRCMP_EQUAL("", contradiction(told, cluster.executions()).c_str());
    CHECK(cluster.executionsOf("worker-0") + cluster.executionsOf("worker-1") >= 2);
}
