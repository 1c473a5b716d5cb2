#include "member.h"

#include <base/logline.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <string_view>

using namespace std::chrono_literals;
using LargeTopics::configuration;
using LargeTopics::Member;
using LargeTopics::RouteBytes;
using LargeTopics::SlowNetwork;

namespace
{

constexpr double StoreRate = 80e6; // bytes a second
constexpr double BytesPerMbit = 1e6 / 8;
constexpr Base::Duration Limit = 60s;
constexpr std::size_t Groups = 7; // with handed-on versions, one member of so many reads the store

enum class Way { Store, Members, Differences };

std::string_view name(Way way)
{
    switch (way) {
    case Way::Store:
        return "each reads the store";
    case Way::Members:
        return "handed on whole";
    case Way::Differences:
        return "handed on as differences";
    }
    return {};
}

struct Outcome {
    double seconds = 0; ///< from the write until the last member has the version; 0 if not within the limit
    double storeBytes = 0;
    double repeatedBytes = 0; ///< beyond one copy for each member
};

// All members have a version of this size; the next one has a route more.
Outcome play(Way way, std::size_t count, double mbits, std::size_t routes)
{
    const double link = mbits * BytesPerMbit;
    SlowNetwork network(StoreRate);
    std::vector<std::unique_ptr<Member>> members;
    network.setPeerAnswer([&](std::uint64_t known) -> std::optional<std::string> {
        const auto it = std::max_element(members.begin(), members.end(), [](const auto &a, const auto &b) {
            return a->version < b->version;
        });
        if ((*it)->version <= known) {
            return std::nullopt;
        }
        return way == Way::Differences && known > 0 ? configuration((*it)->version, 1) : (*it)->text;
    });
    for (std::size_t n = 0; n < count; ++n) {
        const bool readsStore = way == Way::Store || n % Groups == 0;
        members.push_back(std::make_unique<Member>(network, link, readsStore));
        network.timers.subscribeAfter(1000ms * n / count, [&members, n] { members[n]->start(); });
    }
    network.setPeerRate(link * double(std::max<std::size_t>(count / Groups, 1)));
    const auto isInForce = [&](std::uint64_t version) {
        return network.runUntil(
            [&] {
                return std::all_of(
                    members.begin(), members.end(), [&](const auto &it) { return it->version >= version; });
            },
            Limit);
    };
    network.write("config", configuration(1, routes));
    if (!isInForce(1)) {
        return {};
    }
    network.runFor(3300ms);
    const auto since = network.timers.now();
    const auto before = network.storeBytes();
    const auto peersBefore = network.peerBytes();
    network.write("config", configuration(2, routes + 1));
    if (!isInForce(2)) {
        return {};
    }
    Outcome out;
    out.seconds = std::chrono::duration<double>(network.timers.now() - since).count();
    out.storeBytes = double(network.storeBytes() - before);
    const double needed = double(routes * RouteBytes) * double(count);
    out.repeatedBytes = std::max(0.0, out.storeBytes + double(network.peerBytes() - peersBefore) - needed);
    return out;
}

} // namespace

int main()
{
    Base::LogLine::setThreshold(Base::LogLevel::Error);
    fmt::print(
        "bench_largetopics, virtual time: from the write of a version with one route more until all members "
        "have it.\nThe store sends 80 MB/s in all; bytes / link is the least time for one member, bytes / "
        "store that for all.\n\n");
    fmt::print("| way | members | link, Mbit/s | routes | time, s | bytes / link, s | bytes / store, s | "
               "store, MB | "
               "repeated, MB |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Way way : {Way::Store, Way::Members, Way::Differences}) {
        for (const std::size_t count : {7, 42, 300}) {
            for (const double mbits : {1.0, 10.0, 200.0}) {
                for (const std::size_t routes : {50, 2000, 4000, 8000}) {
                    const Outcome out = play(way, count, mbits, routes);
                    const double bytes = double(routes * RouteBytes);
                    fmt::print("| {} | {} | {} | {} | {} | {:.2f} | {:.2f} | {:.1f} | {:.1f} |\n",
                               name(way),
                               count,
                               mbits,
                               routes,
                               out.seconds > 0 ? fmt::format("{:.2f}", out.seconds) : "not in 60",
                               bytes / (mbits * BytesPerMbit),
                               bytes * double(count) / StoreRate,
                               out.storeBytes / 1e6,
                               out.repeatedBytes / 1e6);
                    std::fflush(stdout);
                }
            }
        }
    }
    return 0;
}
