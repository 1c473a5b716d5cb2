#include "claimhistory.h"
#include "naivecoordinators.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

namespace
{

constexpr unsigned HistoryCount = 400;

// If CLAIMS_SEED is set, only the history with that seed is run.
std::vector<unsigned> seeds()
{
    if (const char *seed = std::getenv("CLAIMS_SEED")) {
        return {static_cast<unsigned>(std::strtoul(seed, nullptr, 10))};
    }
    std::vector<unsigned> all(HistoryCount);
    for (unsigned n = 0; n < HistoryCount; ++n) {
        all[n] = n + 1;
    }
    return all;
}

template<typename Coordinator>
std::size_t historiesWithDuplicateExecutions()
{
    std::size_t count = 0;
    for (const unsigned seed : seeds()) {
        count += ClaimHistory<Coordinator>(seed).run().duplicateExecutions > 0 ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_GROUP(ClaimHistory){};

TEST(ClaimHistory, EachKeyRunsAtMostOnceAndEachAttemptGetsOneCorrectAnswer)
{
    HistoryResult sum;
    for (const unsigned seed : seeds()) {
        const HistoryResult result = ClaimHistory<Claims::ClaimCoordinator>(seed).run();
        const auto label = StringFromFormat("CLAIMS_SEED=%u", seed);
        CHECK_EQUAL_TEXT(0, result.duplicateExecutions, label.asCharString());
        for (const std::string &it : result.violations) {
            FAIL(StringFromFormat("CLAIMS_SEED=%u %s", seed, it.c_str()).asCharString());
        }
        sum.executions += result.executions;
        sum.storedAnswers += result.storedAnswers;
        sum.crashes += result.crashes;
        sum.records += result.records;
    }
    UT_PRINT(StringFromFormat("%d executions, %d stored answers, %d crashes, %d records",
                              int(sum.executions),
                              int(sum.storedAnswers),
                              int(sum.crashes),
                              int(sum.records))
                 .asCharString());
    CHECK(sum.executions > 0 && sum.storedAnswers > 0 && sum.crashes > 0);
}

TEST(ClaimHistory, LocalMemoryRunsKeysTwiceOnTheSameHistories)
{
    const auto count = historiesWithDuplicateExecutions<LocalMemoryCoordinator>();
    UT_PRINT(StringFromFormat("%d histories with a double execution", int(count)).asCharString());
    CHECK(count > 0);
}

TEST(ClaimHistory, TakingOverAfterATimeoutRunsKeysTwiceOnTheSameHistories)
{
    const auto count = historiesWithDuplicateExecutions<TakeoverCoordinator>();
    UT_PRINT(StringFromFormat("%d histories with a double execution", int(count)).asCharString());
    CHECK(count > 0);
}
