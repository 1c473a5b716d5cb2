#include "limithistory.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <string>

using Builds = FaultHistory::Builds;

TEST_GROUP(LimitHistories){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}

static void play(std::uint32_t seeds, Builds builds)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        for (const std::string &it : LimitHistory(seed, builds).play()) {
            FAIL(it.c_str());
        }
    }
}
}
;

TEST(LimitHistories, WorkersAtTheirTaskLimitsTakeNoMoreWhenOthersAreCutOff)
{
    play(200, Builds::Today);
}

TEST(LimitHistories, WorkersAtTheirTaskLimitsTakeNoMoreWithTwoBuildsSideBySide)
{
    play(120, Builds::Two);
}
