#include "cluster.h"
#include "proofcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <future>
#include <random>
#include <thread>

using namespace std::chrono_literals;

namespace
{

constexpr unsigned Seed = 20261204;
constexpr std::array<const char *, 6> PlatformFaults{"{}",
                                                     R"({"slow_ms":300})",
                                                     R"({"out":true})",
                                                     R"({"silent":true})",
                                                     R"({"lose_every":2,"late_ms":200})",
                                                     R"({"repeat_answers":true,"duplicate_appends":true})"};

} // namespace

TEST_GROUP(AtMostOnce)
{
    Cluster cluster;

    Ports bothPorts()
    {
        return inTurn({cluster.callersPort(0), cluster.callersPort(1)});
    }

    void expectTruth(const std::vector<Told> &told)
    {
        STRCMP_EQUAL("", contradiction(told, cluster.executions()).c_str());
    }

    /// Sends keys k0, k1, ... to daemon 0 at once, each on a thread, and returns what they will be told.
    std::vector<std::future<Told>> sendAtOnce(
        int count, const std::string &url, const std::string &moreFields)
    {
        std::vector<std::future<Told>> pending;
        pending.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            pending.push_back(std::async(std::launch::async, [=, port = cluster.callersPort(0)] {
                const std::string key = fmt::format("k{}", n);
                return tell(port, "POST", url, key, key + "#first", moreFields);
            }));
        }
        return pending;
    }
};

TEST(AtMostOnce, ADaemonKilledWithProofsInFlight)
{
    CHECK(cluster.start());
    auto load = std::async(std::launch::async, [ports = bothPorts()] {
        return runProofs(ports, {16, 8, 6, "/proofs?delay=100", {}});
    });
    CHECK(eventually([&] { return cluster.executions().size() >= 24; }));
    cluster.daemon(0).kill();
    const auto told = load.get();
    expectTruth(told);
    CHECK(answeredKeys(told) >= 64);
    CHECK(std::any_of(told.begin(), told.end(), [](const Told &it) { return it.isCut(); }));
}

TEST(AtMostOnce, TwoDaemonsRaceWithOneKey)
{
    CHECK(cluster.start());
    std::vector<Told> told;
    for (int n = 0; n < 40; ++n) {
        const std::string key = fmt::format("k{}", n);
        auto other = std::async(std::launch::async, [=, port = cluster.callersPort(1)] {
            return tell(port, "POST", "/proofs?delay=5", key, key + "#b");
        });
        told.push_back(tell(cluster.callersPort(0), "POST", "/proofs?delay=5", key, key + "#a"));
        told.push_back(other.get());
    }
    expectTruth(told);
    CHECK_EQUAL(40, answeredKeys(told));
    CHECK_EQUAL(40, cluster.executions().size());
}

TEST(AtMostOnce, AnswersOfTheLogAreLostAfterTheAppend)
{
    CHECK(cluster.start());
    CHECK(cluster.setFaults(R"({"lose_every":2,"late_ms":20,"repeat_answers":true})"));
    const auto told = runProofs(bothPorts(), {8, 5, 20, "/proofs?delay=5", {}});
    expectTruth(told);
    CHECK_EQUAL(40, answeredKeys(told));
    CHECK(cluster.platformCount("lost") > 0);
}

TEST(AtMostOnce, WithTheLogOutKeyedProofsAreRefusedAsNotRunAndOthersServed)
{
    CHECK(cluster.start());
    CHECK(cluster.setFaults(R"({"out":true})"));
    std::vector<Told> told;
    for (int n = 0; n < 10; ++n) {
        const std::string key = fmt::format("k{}", n);
        told.push_back(tell(
            cluster.callersPort(0), "POST", "/proofs", key, key + "#a", "Rhubarbcrank-Deadline-Ms: 500\r\n"));
        STRCMP_EQUAL("not-run", told.back().answer.verdict().c_str());
        CHECK(told.back().answer.fields.contains("Retry-After"));
        CHECK(tell(cluster.callersPort(0), "POST", "/proofs", "", key + "#plain").isAnswered());
        CHECK(tell(cluster.callersPort(0), "GET", "/preview", "", key + "#preview").isAnswered());
    }
    expectTruth(told);
    CHECK_EQUAL(20, cluster.executions().size());
    CHECK(cluster.setFaults("{}"));
    for (int n = 0; n < 10; ++n) {
        const auto repeated = repeatProof(bothPorts(), "/proofs", fmt::format("k{}", n), 100);
        CHECK(repeated.back().isAnswered());
        told.insert(told.end(), repeated.begin(), repeated.end());
    }
    expectTruth(told);
}

// The appends take effect long after their requests were given up, some before and some after the repeats of
// their keys: they must not run anything then.
TEST(AtMostOnce, WithTheLogSlowKeyedProofsAreRefusedByTheirDeadline)
{
    CHECK(cluster.start());
    CHECK(cluster.setFaults(R"({"slow_ms":10000})"));
    auto pending = sendAtOnce(10, "/proofs", "Rhubarbcrank-Deadline-Ms: 500\r\n");
    CHECK(tell(cluster.callersPort(0), "POST", "/proofs", "", "plain").isAnswered());
    std::vector<Told> told;
    for (auto &it : pending) {
        told.push_back(it.get());
        STRCMP_EQUAL("not-run", told.back().answer.verdict().c_str());
        CHECK(told.back().answer.fields.contains("Retry-After"));
    }
    CHECK_EQUAL(1, cluster.executions().size());
    const auto lateEffects = std::chrono::steady_clock::now() + 10s;
    CHECK(cluster.setFaults("{}"));
    for (int n = 0; n < 10; ++n) {
        if (n == 5) {
            std::this_thread::sleep_until(lateEffects);
        }
        const auto repeated = repeatProof(bothPorts(), "/proofs", fmt::format("k{}", n), 200);
        CHECK(repeated.back().isAnswered());
        told.insert(told.end(), repeated.begin(), repeated.end());
    }
    expectTruth(told);
}

TEST(AtMostOnce, ADaemonFrozenWithClaimsInFlightPastTheirDeadlines)
{
    CHECK(cluster.start());
    CHECK(cluster.setFaults(R"({"slow_ms":300})"));
    const auto appends = cluster.platformCount("appends");
    auto pending = sendAtOnce(10, "/proofs?delay=300", "Rhubarbcrank-Deadline-Ms: 1000\r\n");
    CHECK(eventually([&] { return cluster.platformCount("appends") > appends; }));
    cluster.daemon(0).signal(SIGSTOP);
    CHECK(cluster.setFaults("{}"));
    std::vector<Told> told;
    const auto until = std::chrono::steady_clock::now() + 1500ms; // past the deadlines
    for (int n = 0; n < 10; ++n) {
        const std::string key = fmt::format("k{}", n);
        told.push_back(tell(cluster.callersPort(1), "POST", "/proofs?delay=300", key, key + "#second"));
    }
    CHECK(std::any_of(told.begin(), told.end(), [](const Told &it) {
        return it.answer.verdict() == "may-have-run"; // held by a claim of the frozen daemon
    }));
    std::this_thread::sleep_until(until);
    cluster.daemon(0).signal(SIGCONT);
    for (auto &it : pending) {
        told.push_back(it.get());
        CHECK(told.back().answer.isComplete);
    }
    expectTruth(told);
    for (int n = 0; n < 10; ++n) {
        const std::string key = fmt::format("k{}", n);
        const auto repeated = repeatProof(inTurn({cluster.callersPort(1)}), "/proofs?delay=300", key, 3);
        told.insert(told.end(), repeated.begin(), repeated.end());
    }
    expectTruth(told);
}

// Platform faults, killed and frozen daemons and a target that dies come together and in any order.
TEST(AtMostOnce, FaultsThatComeTogether)
{
    CHECK(cluster.start({2, {"none", "half", "none"}, "request_timeout_ms = 500\n"}));
    std::array<std::atomic<std::uint16_t>, 2> ports{cluster.callersPort(0), cluster.callersPort(1)};
    const CallerLoad shape{12, 40, 8, "/proofs?delay=20", "Rhubarbcrank-Deadline-Ms: 1500\r\n"};
    auto load = std::async(std::launch::async, [&] {
        return runProofs([&](int attempt) { return ports[static_cast<std::size_t>(attempt) % 2].load(); },
                         shape);
    });
    std::minstd_rand random(Seed);
    for (int n = 0; n < 16; ++n) {
        cluster.setFaults(PlatformFaults[random() % PlatformFaults.size()]);
        const std::size_t victim = random() % 2;
        const bool isKilled = random() % 2 == 0;
        if (isKilled) {
            cluster.daemon(victim).kill();
            cluster.startDaemon(victim);
            ports[victim] = cluster.callersPort(victim);
        } else {
            cluster.daemon(victim).signal(SIGSTOP);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 600));
        cluster.daemon(victim).signal(SIGCONT);
    }
    cluster.setFaults("{}");
    const auto told = load.get();
    expectTruth(told);
    CHECK(answeredKeys(told) > 0);
    CHECK(std::any_of(told.begin(), told.end(), [](const Told &it) { return it.isCut(); }));
    CHECK(eventually([&] { return cluster.isReady(0) && cluster.isReady(1); }));
    const auto afterwards = repeatProof(bothPorts(), "/proofs", "afterwards", 200);
    CHECK(afterwards.back().isAnswered());
}

// The naive way: the caller goes to the targets itself, and repeats a proof whose answer it didn't get. The
// check that the other tests rest on has to find what that does.
TEST(AtMostOnce, ARepeatWithoutClaimsRunsAProofTwice)
{
    CHECK(cluster.start({1, {"die", "none"}, {}}));
    const auto told = repeatProof(inTurn({cluster.targetPort(0), cluster.targetPort(1)}), "/proofs", "k0", 2);
    CHECK(told.back().isAnswered());
    STRCMP_CONTAINS("key k0 ran 2 times", contradiction(told, cluster.executions()).c_str());
}
