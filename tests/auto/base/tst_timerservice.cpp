#include <base/oneshottimer.h>
#include <base/timerservice.h>

#include <memory>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(TimerService)
{
    Base::TimerService timers;
    std::string fired;

    Base::TimerService::Callback note(char name)
    {
        return [this, name] {
            fired += name;
        };
    }
};

TEST(TimerService, FiresInTheOrderOfTheTimesAskedFor)
{
    timers.subscribeAfter(3ms, note('c'));
    timers.subscribeAfter(1ms, note('a'));
    timers.subscribeAfter(2ms, note('b'));
    timers.advanceTo(Base::instantAt(2ms));
    STRCMP_EQUAL("ab", fired.c_str());
    timers.advanceTo(Base::instantAt(9ms));
    STRCMP_EQUAL("abc", fired.c_str());
    CHECK(!timers.nextDue());
}

TEST(TimerService, ACancelledTimerDoesNotFire)
{
    const auto id = timers.subscribeAfter(1ms, note('a'));
    CHECK(timers.cancel(id));
    CHECK(!timers.cancel(id));
    timers.advanceTo(Base::instantAt(5ms));
    STRCMP_EQUAL("", fired.c_str());
}

TEST(TimerService, APeriodicTimerCanCancelItselfFromItsCallback)
{
    Base::TimerId id;
    id = timers.subscribeEvery(1ms, [&] {
        fired += 'x';
        if (fired.size() == 3) {
            timers.cancel(id);
        }
    });
    for (int n = 1; n < 10; ++n) {
        timers.advanceTo(Base::instantAt(1ms * n));
    }
    STRCMP_EQUAL("xxx", fired.c_str());
}

TEST(TimerService, WhatIsDroppedMayCancelOthers)
{
    const auto other = timers.subscribeAfter(2ms, note('a'));
    std::shared_ptr<void> canceller(nullptr, [this, other](const void *) { timers.cancel(other); });
    timers.subscribeAfter(1ms, [held = std::move(canceller)] {});
    timers.clear();
    CHECK(!timers.nextDue());
    CHECK(!timers.cancel(other));
    timers.advanceTo(Base::instantAt(5ms));
    STRCMP_EQUAL("", fired.c_str());
}

TEST(TimerService, TimeNeverGoesBack)
{
    timers.advanceTo(Base::instantAt(5ms));
    timers.advanceTo(Base::instantAt(2ms));
    CHECK(timers.now() == Base::instantAt(5ms));
}

namespace
{

Base::Instant sleepersClock;

} // namespace

TEST(TimerService, ADelayBeginsAtTheClocksTimeNotAtTheLastAdvance)
{
    sleepersClock = Base::instantAt(0ms);
    Base::TimerService service([] { return sleepersClock; });
    sleepersClock = Base::instantAt(300ms);
    service.subscribeAfter(100ms, note('x'));
    service.advanceTo(Base::instantAt(300ms));
    STRCMP_EQUAL("", fired.c_str());
    service.advanceTo(Base::instantAt(400ms));
    STRCMP_EQUAL("x", fired.c_str());
}

TEST_GROUP(OneShotTimer)
{
    Base::TimerService timers;
    std::string fired;
    Base::OneShotTimer timer{timers};

    void arm(Base::Duration delay, char name)
    {
        timer.arm(delay, [this, name] { fired += name; });
    }

    std::string firedBy(Base::Duration time)
    {
        timers.advanceTo(Base::instantAt(time));
        return fired;
    }
};

TEST(OneShotTimer, FiresOnce)
{
    arm(2ms, 'a');
    STRCMP_EQUAL("", firedBy(1ms).c_str());
    STRCMP_EQUAL("a", firedBy(2ms).c_str());
    STRCMP_EQUAL("a", firedBy(9ms).c_str());
    CHECK(!timers.nextDue());
}

TEST(OneShotTimer, ArmedAgainForLaterItFiresThenOnly)
{
    arm(2ms, 'a');
    arm(5ms, 'b');
    STRCMP_EQUAL("", firedBy(4ms).c_str());
    STRCMP_EQUAL("b", firedBy(5ms).c_str());
    STRCMP_EQUAL("b", firedBy(9ms).c_str());
}

TEST(OneShotTimer, ArmedAgainForEarlierItFiresThenOnly)
{
    arm(5ms, 'a');
    arm(2ms, 'b');
    STRCMP_EQUAL("b", firedBy(2ms).c_str());
    STRCMP_EQUAL("b", firedBy(9ms).c_str());
}

TEST(OneShotTimer, DisarmedItDoesNotFireUntilItIsArmedAgain)
{
    arm(2ms, 'a');
    timer.disarm();
    STRCMP_EQUAL("", firedBy(3ms).c_str());
    arm(2ms, 'b');
    STRCMP_EQUAL("", firedBy(4ms).c_str());
    STRCMP_EQUAL("b", firedBy(5ms).c_str());
}

TEST(OneShotTimer, DisarmedAndArmedForLaterItKeepsTheLaterTime)
{
    arm(2ms, 'a');
    timer.disarm();
    arm(4ms, 'b');
    STRCMP_EQUAL("", firedBy(3ms).c_str());
    STRCMP_EQUAL("b", firedBy(4ms).c_str());
}

TEST(OneShotTimer, OneLongAdvanceKeepsTheOrderOfTimes)
{
    arm(1ms, 'x');
    arm(5ms, 'c');
    timers.subscribeAfter(3ms, [this] { fired += 'b'; });
    timers.subscribeAfter(2ms, [this] { fired += 'a'; });
    STRCMP_EQUAL("abc", firedBy(9ms).c_str());
}

TEST(OneShotTimer, ItsCallbackMayArmItAgain)
{
    timer.arm(1ms, [this] {
        fired += 'a';
        arm(1ms, 'b');
    });
    STRCMP_EQUAL("a", firedBy(1ms).c_str());
    STRCMP_EQUAL("ab", firedBy(2ms).c_str());
}

TEST(OneShotTimer, DisarmingDropsWhatTheCallbackHolds)
{
    const auto held = std::make_shared<int>(0);
    timer.arm(1ms, [held] {});
    LONGS_EQUAL(2, held.use_count());
    timer.disarm();
    LONGS_EQUAL(1, held.use_count());
}

TEST(OneShotTimer, EndsWithItsOwnerAlsoFromItsCallback)
{
    auto owned = std::make_unique<Base::OneShotTimer>(timers);
    owned->arm(1ms, [&] {
        owned.reset();
        fired += 'a';
    });
    auto dropped = std::make_unique<Base::OneShotTimer>(timers);
    dropped->arm(1ms, [this] { fired += 'x'; });
    dropped.reset();
    STRCMP_EQUAL("a", firedBy(2ms).c_str());
    CHECK(!timers.nextDue());
}
