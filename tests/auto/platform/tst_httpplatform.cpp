#include "platformfixture.h"

#include <platform/readback.h>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using Platform::ActionAccepted;
using Platform::ActionCallback;
using Platform::ActionKind;
using Platform::ActionOutcome;
using Platform::Appended;
using Platform::AppendOutcome;
using Platform::AppendUnavailable;
using Platform::AppendUnknown;
using Platform::FirstOffset;
using Platform::ListOutcome;
using Platform::LogRecord;
using Platform::Offset;
using Platform::ReadBack;
using Platform::ReadBackCallback;
using Platform::ReadBackFound;
using Platform::ReadBackOutcome;
using Platform::ReadEntries;
using Platform::ReadOutcome;
using Platform::ReadUnavailable;
using Platform::TrimCallback;
using Platform::Trimmed;
using Platform::TrimmedPast;
using Platform::TrimOutcome;

TEST_GROUP(HttpPlatform)
{
    PlatformFixture fixture;

    template<typename Outcome>
    void checkAppend(const std::vector<LogRecord> &records)
    {
        const auto outcome = fixture.append(records);
        CHECK(outcome && std::holds_alternative<Outcome>(*outcome));
    }
};

TEST(HttpPlatform, ReadsBackTheBytesThatWereAppended)
{
    std::string bytes;
    for (int n = 0; n < 1000; ++n) {
        bytes += static_cast<char>(n);
        const auto outcome = n % 100 == 0 ? fixture.append({{fmt::format("id {}", n), bytes}}) : std::nullopt;
        CHECK(n % 100 != 0 || std::holds_alternative<Appended>(*outcome));
    }
    const auto outcome = fixture.read(10);
    const auto &read = std::get<ReadEntries>(*outcome);
    CHECK_EQUAL(1, read.entries.size());
    CHECK(read.entries[0].data == bytes.substr(0, 901));
    CHECK_EQUAL(11, read.end);
}

TEST(HttpPlatform, ALostAnswerIsUnknownAndReadingBackFindsTheRecords)
{
    checkAppend<Appended>(makeRecords("before", 3));
    PlatformStandin::Faults faults;
    faults.loseEvery = 1;
    fixture.standin.setFaults(faults);
    checkAppend<AppendUnknown>(makeRecords("r", 2));
    const auto outcome = fixture.await<ReadBackOutcome>([&](ReadBackCallback callback) {
        ReadBack<Platform::HttpPlatform>::start(
            fixture.platform(), "s", 4, {"r1", "other", "r0"}, std::move(callback));
    });
    const auto &found = std::get<ReadBackFound>(*outcome);
    CHECK(found.records[0].offset == Offset(5));
    CHECK(!found.records[1].offset);
    CHECK(found.records[2].offset == Offset(4));
    CHECK_EQUAL(6, found.end);
}

TEST(HttpPlatform, ARefusedConnectionIsProvenNotTaken)
{
    std::uint16_t closedPort = 0;
    {
        const PlatformStandin::StandinThread gone;
        closedPort = gone.port();
    }
    fixture.speakTo(closedPort);
    checkAppend<AppendUnavailable>(makeRecords("r", 1));
}

TEST(HttpPlatform, AnAppendOverTheLimitIsProvenNotTaken)
{
    PlatformStandin::Faults faults;
    faults.maxAppendsPerSecond = 1;
    fixture.standin.setFaults(faults);
    fixture.append(makeRecords("a", 1));
    fixture.append(makeRecords("b", 1));
    CHECK(fixture.standin.counters().limited <= 1);
    fixture.standin.setFaults({});
    const auto outcome = fixture.read(FirstOffset);
    const auto appended = std::get<ReadEntries>(*outcome).entries.size();
    CHECK_EQUAL(2, appended + fixture.standin.counters().limited);
}

TEST(HttpPlatform, AnOutageIsUnknownToAppendsAndUnavailableToReads)
{
    PlatformStandin::Faults faults;
    faults.isOut = true;
    fixture.standin.setFaults(faults);
    checkAppend<AppendUnknown>(makeRecords("r", 1));
    CHECK(std::holds_alternative<ReadUnavailable>(*fixture.read(FirstOffset)));
}

TEST(HttpPlatform, AServerThatFellSilentTimesOutAndTheNextRequestGoesOnANewConnection)
{
    checkAppend<Appended>(makeRecords("a", 1));
    PlatformStandin::Faults faults;
    faults.isSilent = true;
    fixture.standin.setFaults(faults);
    checkAppend<AppendUnknown>(makeRecords("b", 1));
    fixture.standin.setFaults({});
    checkAppend<Appended>(makeRecords("c", 1));
}

TEST(HttpPlatform, ARepeatedAnswerIsNeverTakenForAnotherRequests)
{
    PlatformStandin::Faults faults;
    faults.repeatsAnswers = true;
    fixture.standin.setFaults(faults);
    constexpr std::size_t Count = 40;
    std::vector<AppendOutcome> outcomes;
    std::vector<Offset> offsets(Count, 0);
    for (std::size_t n = 0; n < Count; ++n) {
        const auto records = makeRecords(fmt::format("r{}.", n), 1);
        fixture.platform().append("s", records, [&, n](const AppendOutcome &outcome) {
            outcomes.push_back(outcome);
            const auto *appended = std::get_if<Appended>(&outcome);
            offsets[n] = appended ? appended->offsets.front() : 0;
        });
    }
    CHECK(fixture.runUntil([&] { return outcomes.size() == Count; }));
    fixture.standin.setFaults({});
    const auto outcome = fixture.read(FirstOffset);
    const auto &entries = std::get<ReadEntries>(*outcome).entries;
    for (std::size_t n = 0; n < Count; ++n) {
        CHECK(offsets[n] == 0 || entries.at(offsets[n] - 1).id == fmt::format("r{}.0", n));
    }
}

TEST(HttpPlatform, ATrimmedOffsetIsReported)
{
    checkAppend<Appended>(makeRecords("r", 5));
    const auto trimmed = fixture.await<TrimOutcome>(
        [&](TrimCallback callback) { fixture.platform().trim("s", 4, std::move(callback)); });
    CHECK_EQUAL(4, std::get<Trimmed>(*trimmed).first);
    CHECK_EQUAL(4, std::get<TrimmedPast>(*fixture.read(2)).first);
    CHECK_EQUAL(2, std::get<ReadEntries>(*fixture.read(4)).entries.size());
}

TEST(HttpPlatform, ALongPollIsEndedByAnAppendAndHoldsUpNone)
{
    std::optional<ReadOutcome> outcome;
    fixture.platform().read({"s", FirstOffset, 10, 15000}, [&](ReadOutcome it) { outcome = std::move(it); });
    checkAppend<Appended>(makeRecords("r", 1));
    CHECK(fixture.runUntil([&] { return outcome.has_value(); }));
    CHECK_EQUAL(1, std::get<ReadEntries>(*outcome).entries.size());
}

TEST(HttpPlatform, ListsInstancesAndAStaleListStaysAsItWas)
{
    fixture.standin.setInstances(R"([{"name":"w1","kind":"target","zone":"a","rack":"r7","state":"leaving",
        "callers":"10.0.0.1:80"},{"name":"e1","kind":"entry","zone":"b","state":"live","peers":"10.0.0.2:7"}])");
    PlatformStandin::Faults faults;
    faults.hasStaleList = true;
    fixture.standin.setFaults(faults);
    fixture.standin.setInstances("[]");
    const auto outcome = fixture.await<ListOutcome>(
        [&](Platform::ListCallback callback) { fixture.platform().listInstances(std::move(callback)); });
    const std::vector<Platform::ListedInstance> expected = {
        {"w1",
         Platform::InstanceKind::Target,
         "a",
         "r7",
         Platform::InstanceState::Leaving,
         "10.0.0.1:80",
         "",
         ""},
        {"e1", Platform::InstanceKind::Entry, "b", "", Platform::InstanceState::Live, "", "", "10.0.0.2:7"}};
    CHECK(std::get<std::vector<Platform::ListedInstance>>(*outcome) == expected);
}

TEST(HttpPlatform, AnActionThatIsRepeatedIsAccepted)
{
    for (int n = 0; n < 2; ++n) {
        const auto outcome = fixture.await<ActionOutcome>([&](ActionCallback callback) {
            fixture.platform().act({"a1", ActionKind::Reboot, "worker 1"}, std::move(callback));
        });
        CHECK(std::holds_alternative<ActionAccepted>(*outcome));
    }
    CHECK_EQUAL(2, fixture.standin.counters().actions);
}

TEST(HttpPlatform, NoCallbackComesAfterTheEnd)
{
    auto other = std::make_unique<PlatformFixture>();
    bool isCalled = false;
    other->platform().read({"s", FirstOffset, 10, 5000}, [&](const ReadOutcome &) { isCalled = true; });
    other.reset();
    CHECK(!isCalled);
}
