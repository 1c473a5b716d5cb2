#include "planefixture.h"
#include "testcaller.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

TEST_GROUP(Shutdown)
{
    PlaneFixture fixture;
    std::atomic<bool> isDrained{false};

    void setup() override
    {
        fixture.start();
    }

    void drain()
    {
        fixture.plane->callers().drain([this] { isDrained = true; });
    }
};

TEST(Shutdown, InFlightRequestsAreCompleted)
{
    std::atomic<int> completeResponses{0};
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int n = 0; n < 8; ++n) {
        threads.emplace_back([&] {
            TestCaller caller(fixture.port());
            completeResponses +=
                caller.request("POST", "/proof?delay=400&size=100000", {}, "x").isComplete ? 1 : 0;
        });
    }
    CHECK(eventually([&] { return fixture.targets.executions() == 8; }));
    drain();
    for (auto &it : threads) {
        it.join();
    }
    CHECK_EQUAL(8, completeResponses.load());
    CHECK(eventually([&] { return isDrained.load(); }));
}

TEST(Shutdown, RequestsDuringDrainNoticeAreServedAndConnectionsClosed)
{
    TestCaller idle(fixture.port());
    CHECK_EQUAL(200, idle.request("GET", "/preview").status);
    drain();
    CHECK(eventually([&] {
        TestCaller caller(fixture.port());
        auto answer = caller.request("GET", "/preview");
        return answer.status == 200 && answer.fields["Connection"] == "close";
    }));
    CHECK(idle.isClosed());
    CHECK(eventually([&] { return isDrained.load(); }));
}

TEST(Shutdown, NoConnectionIsAcceptedAfterDrainNotice)
{
    drain();
    CHECK(eventually([&] { return isDrained.load(); }));
    bool isConnectionRefused = false;
    try {
        TestCaller caller(fixture.port());
    } catch (const std::exception &) {
        isConnectionRefused = true;
    }
    CHECK(isConnectionRefused);
}
