#include "restarthistory.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

using Orders = RestartHistory::Orders;
using Cuts = RestartHistory::Cuts;

TEST_GROUP(RestartHistories){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}

static void play(Cuts cuts)
{
    for (std::uint32_t seed = 1; seed <= 150; ++seed) {
        for (const std::string &it : RestartHistory(seed, Orders::Prompt, cuts).play()) {
            FAIL(it.c_str());
        }
    }
}
}
;

TEST(RestartHistories, NoTaskRunsTwiceAndNoJobIsLostWhenRestartedWorkersAreCutOff)
{
    play(Cuts::BothWays);
}

TEST(RestartHistories, NoTaskRunsTwiceAndNoJobIsLostWhenAnswersOfRestartedWorkersAreLost)
{
    play(Cuts::OneWay);
}
