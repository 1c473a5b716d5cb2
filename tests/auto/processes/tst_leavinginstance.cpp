#include "cluster.h"
#include "proofcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace std::chrono_literals;

TEST_GROUP(LeavingInstance)
{
    static constexpr std::chrono::seconds LeaveBound{2}; ///< the default of leave_bound_ms

    Cluster cluster;
    std::atomic<bool> isStopped{false};
    std::atomic<int> failures{0};
    std::vector<std::thread> threads;

    /// Keeps both daemons busy until finish().
    void startLoad()
    {
        for (int n = 0; n < 4; ++n) {
            threads.emplace_back([this, n, port = cluster.callersPort(static_cast<std::size_t>(n % 2))] {
                for (int k = 0; !isStopped; ++k) {
                    const auto told = tell(port, "POST", "/proofs?delay=5", "", fmt::format("c{}n{}", n, k));
                    failures += told.isAnswered() ? 0 : 1;
                }
            });
        }
    }

    void finish()
    {
        isStopped = true;
        for (auto &it : threads) {
            it.join();
        }
        threads.clear();
    }

    void teardown() override
    {
        finish();
    }

    bool growsBy(std::size_t count)
    {
        const auto before = cluster.executions().size();
        return eventually([&] { return cluster.executions().size() >= before + count; });
    }
};

TEST(LeavingInstance, GetsNoNewWorkAfterTheBound)
{
    CHECK(cluster.start());
    startLoad();
    CHECK(eventually([&] { return cluster.executionsOf("worker-0") > 50; }));
    cluster.listInstances("worker-0");
    std::this_thread::sleep_for(LeaveBound);
    const auto before = cluster.executionsOf("worker-0");
    CHECK(growsBy(500));
    CHECK_EQUAL(before, cluster.executionsOf("worker-0"));
    cluster.listInstances();
    CHECK(eventually([&] { return cluster.executionsOf("worker-0") > before; }));
    finish();
    CHECK_EQUAL(0, failures.load());
}

// What is leaving stays so while the platform can't be asked, and what is live does.
TEST(LeavingInstance, CutOffFromThePlatformServingGoesOnAsItWas)
{
    CHECK(cluster.start());
    cluster.listInstances("worker-0");
    startLoad();
    std::this_thread::sleep_for(LeaveBound);
    const auto before = cluster.executionsOf("worker-0");
    cluster.platform().signal(SIGSTOP);
    CHECK(growsBy(500));
    cluster.platform().kill();
    CHECK(eventually([&] { return cluster.statusOf(0, "is_platform_reachable") == 0; }));
    CHECK(growsBy(500));
    CHECK_EQUAL(before, cluster.executionsOf("worker-0"));
    CHECK(cluster.isReady(0) && cluster.isReady(1));
    finish();
    CHECK_EQUAL(0, failures.load());
}
