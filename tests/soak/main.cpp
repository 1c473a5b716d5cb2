#include "callers.h"
#include "fleet.h"
#include "members.h"
#include "observer.h"
#include "store.h"
#include "troubles.h"

#include <base/logline.h>
#include <runtime/eventloopthread.h>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <map>
#include <memory>
#include <sstream>

using namespace std::chrono_literals;

namespace Soak
{

namespace
{

constexpr const char *Usage =
    R"(Plays a deployment with real members, and checks what callers, workers and the store see.

Usage:
  soak --program=PATH [options]
  soak --help

Options:
  --program=PATH     The members' program.
  --second=PATH      Another one, which half of the members run; they change when they start again.
  --seed=N           Of the load and the troubles; timing is real. [default: 1]
  --members=N        [default: 42]
  --scale=X          Of load and fleet, against 350 machines. [default: 1]
  --quota-scale=X    Of the workspaces' quotas. [default: 1]
  --long-share=X     Of jobs whose tasks take 11 s. [default: 0]
  --seconds=N        Time of the load. [default: 34]
  --troubles=LIST    Kinds that may come, separated by commas; "all" or "none". [default: none]
  --count=N          How many troubles come. [default: 5]
  --logs=FOLDER      For the members' logs, kept. Without it they are kept only if something is broken.
  --unguarded        Workers don't guard their capacity.
  --help             Shows this text.
)";

constexpr Base::Duration ReadyTimeout = 40s;
constexpr Base::Duration LongRunningLead = 3s;
constexpr Base::Duration FinishTime = 17s; // after the load
constexpr Base::Duration AnswerTime = 4s;
constexpr Base::Duration CheckPeriod = 100ms;
constexpr Base::Duration LagPeriod = 20ms;

std::vector<std::string> troublesIn(const std::string &list)
{
    if (list == "none") {
        return {};
    }
    if (list == "all") {
        return troubleKinds();
    }
    std::vector<std::string> kinds;
    std::istringstream text(list);
    for (std::string it; std::getline(text, it, ',');) {
        kinds.push_back(it);
    }
    return kinds;
}

/// One run: the load, the troubles, the time after them and what was seen.
class Run
{
public:
    Run(std::map<std::string, docopt::value> arguments, std::filesystem::path folder)
        : m_arguments(std::move(arguments))
        , m_random(static_cast<std::uint32_t>(m_arguments["--seed"].asLong()))
        , m_eventLoop("soak")
        , m_shape(makeShape(std::stod(m_arguments["--scale"].asString()),
                            static_cast<std::size_t>(m_arguments["--members"].asLong()),
                            std::stod(m_arguments["--quota-scale"].asString())))
        , m_store(m_eventLoop.context(), timers(), m_random())
        , m_observer(timers(), m_shape)
        , m_fleet({m_eventLoop.context(), timers(), m_store, m_observer, m_random}, guarded(m_shape))
        , m_members(timers(), m_shape, programs(), std::move(folder), m_store.port(), m_fleet.port())
        , m_callers(m_eventLoop.context(), timers(), m_observer, m_shape, m_members.entries(), m_random())
        , m_deployment{timers(), m_store, m_fleet, m_members, m_callers, m_observer, m_shape, m_random}
    {
        m_shape.longShare = std::stod(m_arguments["--long-share"].asString());
    }

    /// Whether nothing was broken.
    bool play()
    {
        m_store.put("keyed.op", "config", configuration(m_shape, 1));
        m_members.start();
        m_readyBy = timers().now() + ReadyTimeout;
        timers().subscribeAfter(CheckPeriod, [this] { waitUntilReady(); });
        m_lagExpected = timers().now() + LagPeriod;
        timers().subscribeAfter(LagPeriod, [this] { measureLag(); });
        m_eventLoop.runOnCallingThread();
        for (const std::string &it : m_observer.violations()) {
            fmt::print("{}\n", it);
        }
        fmt::print("{}\n", m_observer.summary());
        fmt::print(
            "{} submitted, {} given up; {} machines moved; store: {} writes, {} reads, {} rejected; "
            "{} members ended by themselves; stand-ins late by {:.0f} ms at most, {:.1f} ms in the mean\n",
            m_callers.submitted(),
            m_callers.refused(),
            m_fleet.moves(),
            m_store.writes(),
            m_store.reads(),
            m_store.rejected(),
            m_members.ownEnds(),
            m_maxLag * 1000,
            m_lagSum * 1000 / double(std::max<std::uint64_t>(1, m_lagCount)));
        return m_wasReady && m_observer.violations().empty() && m_members.ownEnds() == 0;
    }

private:
    Base::TimerService &timers()
    {
        return m_eventLoop.timers();
    }

    std::vector<std::string> programs()
    {
        std::vector<std::string> list{m_arguments["--program"].asString()};
        if (const docopt::value &second = m_arguments["--second"]) {
            list.push_back(second.asString());
        }
        return list;
    }

    Shape &guarded(Shape &shape)
    {
        for (Service &it : shape.services) {
            it.enforcesCapacity = !m_arguments["--unguarded"].asBool();
        }
        return shape;
    }

    void waitUntilReady()
    {
        if (m_callers.areAllReady()) {
            m_wasReady = true;
            m_callers.submitLongRunningJobs();
            timers().subscribeAfter(LongRunningLead, [this] { startLoad(); });
        } else if (timers().now() < m_readyBy) {
            timers().subscribeAfter(CheckPeriod, [this] { waitUntilReady(); });
        } else {
            fmt::print("the members did not become ready\n");
            finish();
        }
    }

    void startLoad()
    {
        const Base::Duration time = std::chrono::seconds(m_arguments["--seconds"].asLong());
        m_callers.start(time);
        timers().subscribeEvery(CheckPeriod, [this] { m_observer.check(); });
        for (const std::string &it :
             scheduleTroubles(m_deployment,
                              troublesIn(m_arguments["--troubles"].asString()),
                              static_cast<std::size_t>(m_arguments["--count"].asLong()),
                              time)) {
            fmt::print("trouble at {}\n", it);
        }
        timers().subscribeAfter(time + FinishTime, [this] {
            m_callers.askForAll([this] { finish(); });
            timers().subscribeAfter(AnswerTime, [this] { finish(); });
        });
    }

    void finish()
    {
        m_members.stop();
        m_eventLoop.context().stop();
    }

    void measureLag()
    {
        const double lag = std::chrono::duration<double>(timers().now() - m_lagExpected).count();
        m_maxLag = std::max(m_maxLag, lag);
        m_lagSum += lag;
        ++m_lagCount;
        m_lagExpected = timers().now() + LagPeriod;
        timers().subscribeAfter(LagPeriod, [this] { measureLag(); });
    }

    std::map<std::string, docopt::value> m_arguments;
    std::mt19937 m_random;
    Runtime::EventLoopThread m_eventLoop;
    Shape m_shape;
    Store m_store;
    Observer m_observer;
    Fleet m_fleet;
    Members m_members;
    Callers m_callers;
    Deployment m_deployment;
    Base::Instant m_readyBy;
    Base::Instant m_lagExpected;
    double m_maxLag = 0;
    double m_lagSum = 0;
    std::uint64_t m_lagCount = 0;
    bool m_wasReady = false;
};

[[noreturn]] void play(std::map<std::string, docopt::value> arguments)
{
    const bool keepsLogs = arguments["--logs"].isString();
    const std::filesystem::path folder = keepsLogs
        ? std::filesystem::path(arguments["--logs"].asString())
        : std::filesystem::temp_directory_path() / fmt::format("soak-{}", ::getpid());
    std::filesystem::create_directories(folder);
    const auto run = std::make_unique<Run>(std::move(arguments), folder);
    const bool isGood = run->play();
    if (isGood && !keepsLogs) {
        std::filesystem::remove_all(folder);
    } else {
        fmt::print("logs: {}\n", folder.string());
    }
    // Timers that are still subscribed hold connections of the event loop, which they must not outlive.
    std::fflush(stdout);
    std::quick_exit(isGood ? 0 : 1);
}

} // namespace

} // namespace Soak

int main(int argc, char **argv)
{
    try {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        Soak::play(docopt::docopt(Soak::Usage, {argv + 1, argv + argc}, true));
    } catch (const std::exception &error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return 2;
    }
}
