#include <base/verdict.h>

#include <CppUTest/TestHarness.h>

using Base::Verdict;

TEST_GROUP(Verdict){};

TEST(Verdict, TheWorstOfTwoIsTheOneFurthestFromNotRun)
{
    CHECK(Base::worstOf(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun);
    CHECK(Base::worstOf(Verdict::Ran, Verdict::MayHaveRun) == Verdict::Ran);
    CHECK(Base::worstOf(Verdict::NotRun, Verdict::NotRun) == Verdict::NotRun);
}

TEST(Verdict, EverySpellingIsReadBack)
{
    for (const Verdict it : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        CHECK(Base::verdictFromString(Base::toString(it)) == it);
    }
    CHECK(!Base::verdictFromString("perhaps"));
}
