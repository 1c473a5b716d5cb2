#include "cluster.h"
#include "proofcaller.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

using namespace std::chrono_literals;

TEST_GROUP(Maintenance)
{
    static constexpr std::chrono::seconds WaveBound{60};

    Cluster cluster;
    std::atomic<bool> isStopped{false};
    std::mutex mutex;
    std::vector<Told> told;
    std::vector<std::thread> threads;

    // Half of the callers' proofs take longer than the planner's pass and the way of its records.
    void startLoad()
    {
        for (std::size_t n = 0; n < 8; ++n) {
            threads.emplace_back([this, n, port = cluster.callersPort(n % 2)] {
                const std::string url = n < 4 ? "/proofs?delay=150" : "/proofs?delay=2500";
                for (int k = 0; !isStopped; ++k) {
                    auto one = tell(port, "POST", url, "", fmt::format("c{}n{}", n, k));
                    const std::lock_guard lock(mutex);
                    told.push_back(std::move(one));
                }
            });
        }
    }

    void teardown() override
    {
        isStopped = true;
        for (auto &it : threads) {
            it.join();
        }
    }
};

// The platform's part in a reboot is to kill the target at once: nothing may be in flight there by then.
TEST(Maintenance, AWaveUnderLoadCutsNoRequest)
{
    CHECK(cluster.start({2, {"none", "none", "none"}, {}}));
    startLoad();
    CHECK_EQUAL(0, cluster.publish(1, {"--wait"}, 1)->wait().value_or(-1));
    std::size_t done = 0;
    CHECK(eventually(
        [&] {
            const auto reboots = cluster.reboots();
            for (; done < reboots.size(); ++done) {
                cluster.restartTarget(static_cast<std::size_t>(reboots[done].back() - '0'));
            }
            return done >= 3;
        },
        WaveBound));
    const auto reboots = cluster.reboots();
    CHECK_EQUAL(3, reboots.size());
    CHECK_EQUAL(3, std::set<std::string>(reboots.begin(), reboots.end()).size());
    isStopped = true;
    for (auto &it : threads) {
        it.join();
    }
    threads.clear();
    CHECK(std::all_of(told.begin(), told.end(), [](const Told &it) { return it.isAnswered(); }));
    STRCMP_EQUAL("", contradiction(told, cluster.executions()).c_str());
    const auto replay = cluster.replay();
    CHECK_EQUAL(0, replay->wait().value_or(-1));
}
