#include <base/timerservice.h>

#include <string>

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
