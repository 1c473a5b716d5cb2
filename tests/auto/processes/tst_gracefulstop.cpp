#include "cluster.h"
#include "proofcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>

TEST_GROUP(GracefulStop)
{
    Cluster cluster;
    std::atomic<bool> isInRotation{true}; ///< as the platform's balancer sees daemon 0
    std::atomic<bool> isStopped{false};
    std::mutex mutex;
    std::vector<Told> told;

    /// Sends proofs one after another on connections of its own, and opens none that the balancer wouldn't.
    void sendProofs(std::size_t caller, std::uint16_t port)
    {
        for (int n = 0; isInRotation && !isStopped; ++n) {
            const std::string marker = fmt::format("c{}n{}", caller, n);
            auto one = tell(port, "POST", "/proofs?delay=50", "", marker);
            const std::lock_guard lock(mutex);
            told.push_back(std::move(one));
        }
    }

    /// The same over one connection, as long as the daemon keeps it.
    void sendOnOneConnection(std::size_t caller, std::uint16_t port)
    {
        TestCaller connection(port);
        for (int n = 0; !isStopped; ++n) {
            Told one{{}, fmt::format("k{}n{}", caller, n), {}, true};
            one.answer = connection.request(
                "POST", "/proofs?delay=20", fmt::format("X-Request: {}\r\n", one.marker), "slate, serif");
            const bool isLast = one.answer.fields["Connection"] == "close" || !one.answer.isComplete;
            const std::lock_guard lock(mutex);
            told.push_back(std::move(one));
            if (isLast) {
                break;
            }
        }
    }
};

TEST(GracefulStop, UnderLoadNoRequestIsCutAndNothingIsAcceptedAfterTheNotice)
{
    constexpr std::size_t Callers = 24;
    CHECK(cluster.start({2, {"none", "none"}, "[requests]\ndrain_notice_ms = 2000\n"}));
    const auto port = cluster.callersPort(0);
    std::vector<std::thread> threads;
    threads.reserve(2 * Callers);
    for (std::size_t n = 0; n < Callers; ++n) {
        threads.emplace_back([this, n, port] { sendProofs(n, port); });
        threads.emplace_back([this, n, port] { sendOnOneConnection(n, port); });
    }
    const bool isLoaded = eventually([&] { return cluster.executions().size() > 500; });
    auto longest = std::async(std::launch::async,
                              [port] { return tell(port, "POST", "/proofs?delay=4500", "", "longest"); });
    const bool hasLongest = eventually([&] {
        const auto executions = cluster.executions();
        return std::any_of(
            executions.begin(), executions.end(), [](const Execution &it) { return it.marker == "longest"; });
    });
    cluster.daemon(0).signal(SIGTERM);
    const bool isOutOfRotation = eventually([&] { return !cluster.isReady(0); });
    isInRotation = false;
    const bool isServedInNotice = tell(port, "GET", "/preview", "", "notice").isAnswered();
    const bool isRefusedLater =
        eventually([&] { return !tell(port, "GET", "/preview", "", "late").isReached; });
    const bool isStillRunning = !cluster.isReady(0) && cluster.statusOf(0, "in_flight") == 1;
    const auto status = cluster.daemon(0).wait();
    isStopped = true;
    for (auto &it : threads) {
        it.join();
    }
    told.push_back(longest.get());
    CHECK(isLoaded);
    CHECK(hasLongest);
    CHECK(isOutOfRotation);
    CHECK(isServedInNotice);
    CHECK(isRefusedLater);
    CHECK(isStillRunning);
    CHECK(status.has_value());
    CHECK_EQUAL(0, *status);
    CHECK(told.size() > 500);
    for (const auto &it : told) {
        CHECK(it.isAnswered());
    }
    STRCMP_EQUAL("", contradiction(told, cluster.executions()).c_str());
}

TEST(GracefulStop, KeyedProofsAreEndedInTheLogBeforeTheDaemonLeaves)
{
    CHECK(cluster.start({2, {"none", "none"}, "[requests]\ndrain_notice_ms = 100\n"}));
    auto load = std::async(std::launch::async, [port = cluster.callersPort(0)] {
        return runProofs(inTurn({port}), {16, 1, 1, "/proofs?delay=500", {}});
    });
    CHECK(eventually([&] { return cluster.executions().size() == 16; }));
    cluster.daemon(0).signal(SIGTERM);
    told = load.get();
    CHECK_EQUAL(0, cluster.daemon(0).wait().value_or(-1));
    CHECK_EQUAL(16, answeredKeys(told));
    const auto repeated = runProofs(inTurn({cluster.callersPort(1)}), {16, 1, 1, "/proofs?delay=500", {}});
    CHECK_EQUAL(16, answeredKeys(repeated));
    told.insert(told.end(), repeated.begin(), repeated.end());
    STRCMP_EQUAL("", contradiction(told, cluster.executions()).c_str());
}

TEST(GracefulStop, WithTheLogOutItEndsInBoundedTime)
{
    CHECK(cluster.start({1, {"none"}, "[requests]\ndrain_notice_ms = 100\n"}));
    CHECK(cluster.setFaults(R"({"silent":true})"));
    CHECK(tell(cluster.callersPort(0), "POST", "/proofs", "", "plain").isAnswered());
    cluster.daemon(0).signal(SIGTERM);
    CHECK_EQUAL(0, cluster.daemon(0).wait().value_or(-1));
}

// Red: the signal was not handled and ended the daemon (status 129).
TEST(GracefulStop, AHangupSignalEndsNoDaemon)
{
    CHECK(cluster.start({2, {"none", "none"}, ""}));
    cluster.daemon(0).signal(SIGHUP);
    for (int n = 0; n < 5; ++n) {
        CHECK(
            tell(cluster.callersPort(0), "POST", "/proofs?delay=50", "", fmt::format("h{}", n)).isAnswered());
    }
}
