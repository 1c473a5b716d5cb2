#include "restarthistory.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

TEST_GROUP(RestartOrders){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

TEST(RestartOrders, NoTaskRunsTwiceWhenTheNextIncarnationTakesOrdersSecondsLater)
{
    for (std::uint32_t seed = 1; seed <= 150; ++seed) {
        for (const std::string &it : RestartHistory(seed, RestartHistory::Orders::Late).play()) {
            FAIL(it.c_str());
        }
    }
}
