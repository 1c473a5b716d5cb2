#include "platformfixture.h"

#include <platform/streamfollower.h>

#include <chrono>

#include <CppUTest/TestHarness.h>

using Platform::FirstOffset;
using Platform::FollowerEvents;
using Platform::HttpPlatform;
using Platform::LogEntry;
using Platform::Offset;
using Platform::StreamFollower;
using Platform::TrimCallback;
using Platform::TrimOutcome;
using namespace std::chrono_literals;

TEST_GROUP(StreamFollower)
{
    PlatformFixture fixture;
    std::vector<Offset> offsets;
    std::optional<Offset> trimmedFirst;

    FollowerEvents events()
    {
        FollowerEvents events;
        events.onEntries = [this](std::span<const LogEntry> entries) {
            for (const LogEntry &it : entries) {
                offsets.push_back(it.offset);
            }
        };
        events.onTrimmedPast = [this](Offset first) {
            trimmedFirst = first;
        };
        return events;
    }

    bool hasOffsetsUpTo(Offset last)
    {
        return fixture.runUntil([&] { return offsets.size() >= last; });
    }

    void checkInOrder(Offset last)
    {
        CHECK_EQUAL(last, offsets.size());
        for (Offset n = 1; n <= last; ++n) {
            CHECK_EQUAL(n, offsets[n - 1]);
        }
    }
};

TEST(StreamFollower, HandsOnEveryEntryOnceAndInOrderAcrossOutagesAndRepeats)
{
    StreamFollower<HttpPlatform> follower(fixture.platform(), fixture.timers(), "s", {7, 200, 5ms, 40ms}, 1);
    fixture.append(makeRecords("a", 20));
    follower.start(FirstOffset, events());
    CHECK(hasOffsetsUpTo(20));
    PlatformStandin::Faults faults;
    faults.isOut = true;
    fixture.standin.setFaults(faults);
    CHECK(fixture.runUntil([&] { return !follower.isReachable(); }));
    faults = {};
    faults.repeatsAnswers = true;
    fixture.standin.setFaults(faults);
    fixture.append(makeRecords("b", 20));
    CHECK(hasOffsetsUpTo(40));
    fixture.standin.setFaults({});
    fixture.append(makeRecords("c", 10));
    CHECK(hasOffsetsUpTo(50));
    checkInOrder(50);
    CHECK(follower.isCaughtUp());
    CHECK_EQUAL(51, follower.tail());
}

// An edit is to be in force everywhere within 5 s.
TEST(StreamFollower, GoesOnOverANewConnectionWhenItsOwnFellSilent)
{
    StreamFollower<HttpPlatform> follower(fixture.platform(), fixture.timers(), "s", {}, 1);
    follower.start(FirstOffset, events());
    fixture.append(makeRecords("a", 1));
    CHECK(hasOffsetsUpTo(1));
    fixture.standin.silenceOpenConnections();
    const auto start = std::chrono::steady_clock::now();
    CHECK(std::holds_alternative<Platform::AppendUnknown>(*fixture.append(makeRecords("b", 1))));
    fixture.append(makeRecords("c", 1));
    CHECK(hasOffsetsUpTo(2));
    CHECK(std::chrono::steady_clock::now() - start < 5s);
    checkInOrder(2);
}

TEST(StreamFollower, IsNotCaughtUpBeforeTheTailSeenAtItsStart)
{
    fixture.append(makeRecords("a", 30));
    StreamFollower<HttpPlatform> follower(fixture.platform(), fixture.timers(), "s", {10, 200, 5ms, 40ms}, 1);
    CHECK(!follower.isCaughtUp());
    bool wasCaughtUpEarly = false;
    FollowerEvents watching = events();
    watching.onEntries = [&](std::span<const LogEntry> entries) {
        offsets.resize(offsets.size() + entries.size());
        wasCaughtUpEarly = wasCaughtUpEarly || (follower.isCaughtUp() && offsets.size() < 30);
    };
    follower.start(FirstOffset, watching);
    CHECK(hasOffsetsUpTo(30));
    CHECK(follower.isCaughtUp());
    CHECK(!wasCaughtUpEarly);
}

TEST(StreamFollower, ReportsWhereTheLogBeginsWhenItsOffsetIsGone)
{
    fixture.append(makeRecords("a", 10));
    fixture.await<TrimOutcome>(
        [&](TrimCallback callback) { fixture.platform().trim("s", 6, std::move(callback)); });
    StreamFollower<HttpPlatform> follower(fixture.platform(), fixture.timers(), "s", {}, 1);
    follower.start(2, events());
    CHECK(fixture.runUntil([&] { return trimmedFirst.has_value(); }));
    CHECK(trimmedFirst == Offset(6));
    CHECK(offsets.empty());
    follower.start(6, events());
    CHECK(hasOffsetsUpTo(5));
}

TEST(StreamFollower, MayBeStoppedFromItsOwnCallback)
{
    fixture.append(makeRecords("a", 10));
    StreamFollower<HttpPlatform> follower(fixture.platform(), fixture.timers(), "s", {3, 200, 5ms, 40ms}, 1);
    FollowerEvents stopping;
    stopping.onEntries = [&](std::span<const LogEntry> entries) {
        offsets.resize(offsets.size() + entries.size());
        follower.stop();
    };
    follower.start(FirstOffset, stopping);
    CHECK(hasOffsetsUpTo(3));
    fixture.append(makeRecords("b", 1));
    CHECK_EQUAL(3, offsets.size());
    CHECK_EQUAL(4, follower.next());
}
