#include <jobservice/configurationexchange.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <memory>

using namespace std::chrono_literals;
using JobService::ConfigurationReply;

namespace
{

constexpr auto PeerTimeout = 1500ms;

/// Members that have a version, or don't answer.
class Peers
{
public:
    explicit Peers(Base::TimerService &timers)
        : m_timers(timers)
    {
    }

    std::vector<Ini::Endpoint> list() const
    {
        std::vector<Ini::Endpoint> endpoints;
        for (std::size_t n = 0; n < versions.size(); ++n) {
            endpoints.push_back({"127.0.0.1", static_cast<std::uint16_t>(n)});
        }
        return endpoints;
    }

    void ask(const Ini::Endpoint &peer,
             std::uint64_t version,
             const std::function<void(std::size_t)> &,
             std::function<void(std::optional<ConfigurationReply>)> done)
    {
        ++questions;
        const std::uint64_t known = versions[peer.port];
        if (known == 0) {
            m_timers.subscribeAfter(PeerTimeout, [done = std::move(done)] { done(std::nullopt); });
            return;
        }
        m_timers.subscribeAfter(2ms, [known, version, done = std::move(done)] {
            ConfigurationReply reply{known <= version, {}};
            if (known > version) {
                reply.newer = std::to_string(known);
            }
            done(reply);
        });
    }

    std::vector<std::uint64_t> versions; ///< 0: cut off
    int questions = 0;

private:
    Base::TimerService &m_timers;
};

} // namespace

TEST_GROUP(ConfigurationExchange)
{
    void setup() override
    {
        exchange.start([this] { return lastRead; }, [] { return false; }, [this] { return version; });
    }

    void runFor(Base::Duration time)
    {
        const Base::Instant until = timers.now() + time;
        while (timers.nextDue() && *timers.nextDue() <= until) {
            timers.advanceTo(*timers.nextDue());
        }
        timers.advanceTo(until);
    }

    Base::TimerService timers{Base::Instant{} + 1h};
    Peers peers{timers};
    Base::Instant lastRead = timers.now();
    std::uint64_t version = 7;
    JobService::ConfigurationExchange<Peers> exchange{peers, timers, [this](const std::string &text) {
                                                          version = std::stoul(text);
                                                      }};
};

TEST(ConfigurationExchange, NobodyIsAskedWhileTheStoreAnswers)
{
    peers.versions = {9, 9};
    for (int n = 0; n < 10; ++n) {
        lastRead = timers.now();
        runFor(1s);
    }
    CHECK_EQUAL(0, peers.questions);
    CHECK(exchange.isCurrent());
}

// A key that was taken away must be refused within seconds, also by a member that the store rejects.
TEST(ConfigurationExchange, AMemberWithoutTheStoreLearnsOfAVersionWithinTwoSeconds)
{
    peers.versions = {7, 0, 7, 0};
    runFor(5s);
    peers.versions = {8, 0, 8, 0};
    runFor(2s);
    CHECK_EQUAL(8, version);
    runFor(1s);
    CHECK(timers.now() - exchange.confirmedAt() < 2s);
}

TEST(ConfigurationExchange, SilentPeersDelayItByTheQueryIntervalOnly)
{
    peers.versions = {0, 0, 0, 8};
    runFor(4s);
    CHECK_EQUAL(8, version);
}

TEST(ConfigurationExchange, WithoutPeersTheVersionAges)
{
    peers.versions = {0, 0};
    runFor(10s);
    CHECK_EQUAL(7, version);
    CHECK(timers.now() - exchange.confirmedAt() >= 10s);
}
