#include <base/connectionbudget.h>

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace std::chrono_literals;
using Base::ConnectionBudget;
using Base::Holding;
using Base::Instant;

namespace
{

constexpr std::size_t Megabyte = 1U << 20U;
constexpr Base::ConnectionLimits Limits{.bytes = 16 * Megabyte, .connections = 8}; // 4, 4 and 8 MB
constexpr Instant Start{1h};
constexpr ConnectionBudget::Door Callers = 1;
constexpr ConnectionBudget::Door Peers = 2;

/// Connections that each receive this much.
std::vector<ConnectionBudget::Id>
receiving(ConnectionBudget &budget, std::size_t count, std::size_t bytes, Instant now = Start)
{
    std::vector<ConnectionBudget::Id> ids;
    for (std::size_t n = 0; n < count; ++n) {
        ids.push_back(budget.add(Callers, now));
        budget.hold(ids.back(), Holding::Receiving, bytes, now);
    }
    return ids;
}

} // namespace

TEST_GROUP(ConnectionBudget){};

TEST(ConnectionBudget, FollowsFromTheMachine)
{
    const auto limits = Base::connectionLimits(160 * Megabyte, 4100);
    CHECK(limits.bytes > 60 * Megabyte && limits.bytes <= 64 * Megabyte);
    LONGS_EQUAL(1950, limits.connections);
    CHECK(Base::connectionLimits(32 * Megabyte, 0).connections > 0);
}

TEST(ConnectionBudget, ALoneRequestFitsAnyBudget)
{
    ConnectionBudget budget({.bytes = 100, .connections = 1});
    const auto id = receiving(budget, 1, Megabyte).front();
    CHECK_FALSE(budget.excess(Start + 1s).has_value());
    CHECK(budget.canHandle(Megabyte));
    budget.hold(id, Holding::Sending, Megabyte, Start);
    CHECK_FALSE(budget.excess(Start + 1s).has_value());
}

TEST(ConnectionBudget, TheOneThatHoldsMostForLongestGoesFirst)
{
    ConnectionBudget budget(Limits);
    const auto old = receiving(budget, 4, Megabyte);
    const auto small = receiving(budget, 1, 1000);
    CHECK(budget.excess(Start).has_value());
    const auto recent = receiving(budget, 1, Megabyte, Start + 2s);
    const auto first = budget.excess(Start + 2s);
    CHECK(first == old.front());
    budget.giveUp(*first, Start + 2s);
    CHECK(budget.excess(Start + 2s) == old.at(1));
    budget.giveUp(old.at(1), Start + 2s);
    CHECK_FALSE(budget.excess(Start + 2s).has_value());
}

TEST(ConnectionBudget, WhatIsHandledIsNeverClosed)
{
    ConnectionBudget budget(Limits);
    for (const auto id : receiving(budget, 8, Megabyte)) {
        budget.hold(id, Holding::Handling, Megabyte, Start);
    }
    CHECK_FALSE(budget.excess(Start + 60s).has_value());
    CHECK_FALSE(budget.hasRoom());
    CHECK_FALSE(budget.leastActive().has_value());
}

TEST(ConnectionBudget, LargeRequestsLeaveRoomForSmallOnes)
{
    ConnectionBudget budget(Limits);
    for (const auto id : receiving(budget, 3, Megabyte)) {
        CHECK(budget.canHandle(Megabyte - 1000));
        budget.hold(id, Holding::Handling, Megabyte - 1000, Start);
    }
    CHECK_FALSE(budget.canHandle(Megabyte));
    CHECK(budget.canHandle(8000));
}

TEST(ConnectionBudget, NothingIsHandledUntilAnswersThatWereGivenUpAreFreed)
{
    ConnectionBudget budget(Limits);
    const auto ids = receiving(budget, 3, 0);
    for (const auto id : ids) {
        budget.hold(id, Holding::Sending, 4 * Megabyte - 1000, Start);
    }
    const auto most = budget.excess(Start + 1s);
    CHECK(most.has_value());
    budget.giveUp(*most, Start + 1s);
    CHECK_FALSE(budget.excess(Start + 1s).has_value());
    CHECK_FALSE(budget.canHandle(100));
    budget.remove(*most);
    CHECK(budget.canHandle(100));
}

TEST(ConnectionBudget, ANewConnectionTakesThePlaceOfTheLeastActiveOfTheFullestDoor)
{
    ConnectionBudget budget(Limits);
    const auto peer = budget.add(Peers, Start - 60s);
    const auto callers = receiving(budget, 7, 100);
    CHECK_FALSE(budget.hasRoom());
    // The first one has been answered since.
    budget.hold(callers.front(), Holding::Sending, 100, Start + 1s);
    budget.hold(callers.front(), Holding::Nothing, 0, Start + 2s);
    CHECK(budget.leastActive() == callers.at(1));
    CHECK(budget.leastActive() != peer);
}

TEST(ConnectionBudget, WhatIsRemovedIsNoLongerCounted)
{
    ConnectionBudget budget(Limits);
    for (const auto id : receiving(budget, 3, Megabyte)) {
        budget.remove(id);
        budget.remove(id);
        budget.hold(id, Holding::Receiving, Megabyte, Start);
    }
    LONGS_EQUAL(0, budget.connections());
    LONGS_EQUAL(0, budget.bytes(Holding::Receiving));
}
