#include "member.h"

#include <base/logline.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace std::chrono_literals;
using LargeTopics::configuration;
using LargeTopics::Member;
using LargeTopics::RouteBytes;
using LargeTopics::settingsWith;
using LargeTopics::SlowNetwork;

namespace
{

constexpr double StoreRate = 80e6; // bytes a second
constexpr double SlowLink = 10e6 / 8;
constexpr double FastLink = 200e6 / 8;
// What the operators expect, from the acknowledgement of a version until it is in force everywhere.
constexpr Base::Duration MaxApplyTime = 3000ms;

/// Follows a topic of many records.
class Reader
{
public:
    Reader(SlowNetwork &network, double linkRate)
        : m_client(network.context, network.timers, {})
        , calls(m_client, m_client, network.timers, settingsWith(network.addLink(linkRate)))
        , m_follower(
              calls,
              network.timers,
              "keyed.servers",
              {},
              [this](const std::string &key, const std::string *value) { values[key] = *value; },
              [] {})
    {
    }

    void start()
    {
        m_follower.start();
    }

    std::map<std::string, std::string> values;

private:
    Http::Client m_client;

public:
    Platform::Calls calls;

private:
    JobService::RecordFollower<Platform::Calls> m_follower;
};

} // namespace

TEST_GROUP(LargeTopics)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        network.setPeerAnswer([this](std::uint64_t known) -> std::optional<std::string> {
            const auto it =
                std::max_element(members.begin(), members.end(), [](const auto &a, const auto &b) {
                    return a->version < b->version;
                });
            return (*it)->version > known ? std::optional((*it)->text) : std::nullopt;
        });
    }

    void addMembers(std::size_t slow, std::size_t fast)
    {
        for (std::size_t n = 0; n < slow + fast; ++n) {
            members.push_back(std::make_unique<Member>(network, n < slow ? SlowLink : FastLink));
        }
    }

    // Not all at once, as their reads begin at different times.
    void startMembers()
    {
        for (std::size_t n = 0; n < members.size(); ++n) {
            network.timers.subscribeAfter(1000ms * n / members.size(), [this, n] { members[n]->start(); });
        }
        network.runFor(3000ms);
    }

    bool isInForce(std::uint64_t version, Base::Duration time)
    {
        return network.runUntil(
            [&] {
                return std::all_of(
                    members.begin(), members.end(), [&](const auto &it) { return it->version >= version; });
            },
            time);
    }

    SlowNetwork network{StoreRate};
    std::vector<std::unique_ptr<Member>> members;
};

TEST(LargeTopics, AReadThatMakesProgressIsNotGivenUp)
{
    addMembers(1, 0);
    network.write("config", configuration(1, 50));
    startMembers();
    network.write("config", configuration(2, 16000));
    const std::chrono::duration<double> transferTime{16000 * RouteBytes / SlowLink};
    CHECK(isInForce(2, std::chrono::duration_cast<Base::Duration>(transferTime) + 500ms));
}

TEST(LargeTopics, ALargeConfigurationIsInForceOnAllMembersInTime)
{
    addMembers(36, 6);
    network.write("config", configuration(1, 50));
    startMembers();
    for (std::uint64_t version = 2; version < 6; ++version) {
        network.write("config", configuration(version, 4000 + version));
        CHECK(isInForce(version, MaxApplyTime));
        network.runFor(1300ms);
    }
}

TEST(LargeTopics, MembersThatStartBesideALargeConfigurationGetIt)
{
    addMembers(36, 6);
    network.write("config", configuration(1, 8000));
    startMembers();
    CHECK(isInForce(1, MaxApplyTime));
}

TEST(LargeTopics, AMemberThatFellBehindReadsOnlyTheNewestVersion)
{
    constexpr std::size_t Routes = 4000;
    addMembers(1, 0);
    network.write("config", configuration(1, Routes));
    startMembers();
    const std::uint64_t before = network.storeBytes();
    for (std::uint64_t version = 2; version < 12; ++version) {
        network.write("config", configuration(version, Routes));
    }
    CHECK(isInForce(11, MaxApplyTime));
    // The version being read, one more that shows how many there are, and the newest one in base64.
    CHECK_COMPARE(network.storeBytes() - before, <, 3.5 * Routes * RouteBytes);
}

TEST(LargeTopics, WhatHasArrivedOfABrokenReadIsKept)
{
    constexpr std::size_t Records = 20;
    constexpr std::size_t RecordBytes = 50000;
    Reader reader(network, SlowLink);
    reader.start();
    network.runFor(500ms);
    for (std::size_t n = 0; n < Records; ++n) {
        network.write("worker-" + std::to_string(n), std::string(RecordBytes, 'w'));
    }
    network.runFor(600ms);
    network.resetTransfers();
    CHECK(network.runUntil([&] { return reader.values.size() == Records; }, 3s));
    CHECK_COMPARE(network.storeBytes(), <, (Records + 3) * RecordBytes);
}

TEST(LargeTopics, AListOfManyWorkersArrives)
{
    constexpr std::size_t Records = 8000;
    for (std::size_t n = 0; n < Records; ++n) {
        network.write("worker-" + std::to_string(n), std::string(RouteBytes, 'w'));
    }
    Reader reader(network, SlowLink);
    reader.start();
    CHECK(network.runUntil([&] { return reader.values.size() == Records; }, 3s));
}

TEST(LargeTopics, TheJobsOfALargeShardArriveAtATakeover)
{
    constexpr std::size_t Records = 8000;
    for (std::size_t n = 0; n < Records; ++n) {
        network.write("spec/" + std::to_string(n), std::string(RouteBytes, 'j'));
    }
    Reader reader(network, SlowLink);
    std::size_t records = 0;
    std::optional<JobService::StoreAnswer> answer;
    reader.calls.loadShard(
        3,
        7,
        [&](std::string_view, std::string_view, bool) { ++records; },
        [&](JobService::StoreAnswer it) { answer = it; });
    CHECK(network.runUntil([&] { return answer.has_value(); }, 5s));
    CHECK(answer->status == JobService::StoreStatus::Done);
    LONGS_EQUAL(Records, records);
}

TEST(LargeTopics, AListOfManyMachinesArrives)
{
    constexpr std::size_t Count = 20000;
    std::string rows;
    for (std::size_t n = 0; n < Count; ++n) {
        rows += std::string(rows.empty() ? "" : ",") + R"({"Machine":"m)" + std::to_string(n)
            + R"(","Pool":"pool","State":"up","Zone":"zone","Labels":["rack-1"],"Capacity":{"Cpu":32000,)"
              R"("MemMb":128000},"Id":"i-00000000"})";
    }
    network.setMachines(R"({"Machines":[)" + rows + "]}");
    Reader reader(network, SlowLink);
    std::optional<std::vector<Machines::Machine>> machines;
    reader.calls.listMachines(
        [&](std::optional<std::vector<Machines::Machine>> it) { machines = std::move(it); });
    CHECK(network.runUntil([&] { return machines.has_value(); }, 5s));
    LONGS_EQUAL(Count, machines->size());
}
