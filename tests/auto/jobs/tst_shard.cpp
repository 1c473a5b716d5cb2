#include <base/logline.h>
#include <jobs/shard.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(Shard){void setup() override{Base::LogLine::setThreshold(Base::LogLevel::Error);
}
}
;

// An owner of 85 workers that have nothing to do must not keep a small machine busy.
TEST(Shard, NothingIsDueWhereNothingChanges)
{
    Jobs::Shard shard({}, 1, "m");
    Base::Instant now{1h};
    const Jobs::WallTime wall{1h};
    shard.begin(now, wall, [](const std::string &) { return true; });
    int passes = 0;
    for (const Base::Instant end = now + 10s; now < end; now = shard.nextDue(now)) {
        shard.setAdrift(false);
        shard.pass(now, wall + std::chrono::duration_cast<Jobs::Milliseconds>(now - Base::Instant{1h}));
        for (const Jobs::Command &it : shard.takeCommands()) {
            if (const auto *batch = std::get_if<Jobs::AppendBatch>(&it)) {
                shard.appended(batch->number, Jobs::AppendResult::Stored, now, wall);
            }
        }
        ++passes;
    }
    CHECK(passes <= 25); // one a second for the sweep and one for occurrences
}
