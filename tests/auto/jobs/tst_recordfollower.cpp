#include <base/timerservice.h>
#include <jobservice/recordfollower.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using JobService::KeyedRecord;

namespace
{

constexpr auto StoreDelay = 4ms;
constexpr std::size_t RecordsOfPage = 5;

/// Fake platform with one topic, in virtual time.
class Topic
{
public:
    explicit Topic(Base::TimerService &timers)
        : m_timers(timers)
    {
    }

    void write(const std::string &key, std::optional<std::string> value)
    {
        m_records.push_back({key, std::move(value), m_records.size()});
    }

    void readSnapshot(const std::string &,
                      const std::optional<std::string> &from,
                      const JobService::ReadProgress &,
                      std::function<void(std::optional<JobService::SnapshotPage>)> done)
    {
        ++pages;
        m_timers.subscribeAfter(StoreDelay, [this, from, done = std::move(done)] {
            if (rejections > 0 && pages % 2 == 0) {
                --rejections;
                done(std::nullopt);
                return;
            }
            JobService::SnapshotPage page;
            std::map<std::string, KeyedRecord> newest;
            for (const KeyedRecord &it : m_records) {
                newest[it.key] = it;
            }
            for (const auto &[key, record] : newest) {
                if (record.value && (!from || key >= *from)) {
                    if (page.records.size() == RecordsOfPage) {
                        page.next = key;
                        break;
                    }
                    page.records.push_back(record);
                }
            }
            page.end = m_records.size();
            done(isDown ? std::nullopt : std::optional(page));
        });
    }

    void readTail(const std::string &,
                  std::uint64_t from,
                  Base::Duration,
                  const JobService::ReadProgress &,
                  std::function<void(std::optional<JobService::TailPage>)> done)
    {
        ++tails;
        m_timers.subscribeAfter(StoreDelay, [this, from, done = std::move(done)] {
            JobService::TailPage page;
            page.isExpired = from < firstKept;
            for (std::uint64_t n = from; n < m_records.size() && !page.isExpired; ++n) {
                if (page.records.size() == recordsOfTail) {
                    break;
                }
                page.records.push_back(m_records[n]);
            }
            page.next = from + page.records.size();
            page.end = m_records.size();
            done(isDown ? std::nullopt : std::optional(page));
        });
    }

    bool isDown = false;
    int rejections = 0; ///< number of pages still to be rejected, every other one
    std::uint64_t firstKept = 0;
    std::size_t recordsOfTail = 1000;
    int pages = 0;
    int tails = 0;

private:
    Base::TimerService &m_timers;
    std::vector<KeyedRecord> m_records;
};

} // namespace

TEST_GROUP(RecordFollower)
{
    void setup() override
    {
        Base::LogLine::setThreshold(Base::LogLevel::Error);
        topic.write("a", "1");
        follower.start();
        runFor(500ms);
    }

    void runFor(Base::Duration time)
    {
        const Base::Instant until = timers.now() + time;
        while (timers.nextDue() && *timers.nextDue() <= until) {
            timers.advanceTo(*timers.nextDue());
        }
        timers.advanceTo(until);
    }

    Base::TimerService timers{Base::Instant{1h}};
    Topic topic{timers};
    std::map<std::string, std::string> seen;
    int changes = 0;
    int reads = 0; ///< completed reads to the end of the topic
    JobService::RecordFollower<Topic> follower{topic,
                                               timers,
                                               "workers",
                                               {.pause = 100ms},
                                               [this](const std::string &key, const std::string *value) {
                                                   ++changes;
                                                   if (value) {
                                                       seen[key] = *value;
                                                   } else {
                                                       seen.erase(key);
                                                   }
                                               },
                                               [this] {
                                                   ++reads;
                                               }};
};

TEST(RecordFollower, ReportsEachChangeOnce)
{
    LONGS_EQUAL(1, changes);
    topic.write("b", "2");
    topic.write("a", std::nullopt);
    runFor(500ms);
    LONGS_EQUAL(3, changes);
    CHECK((seen == std::map<std::string, std::string>{{"b", "2"}}));
}

TEST(RecordFollower, ReportsKeysDeletedDuringAnOutageOfTheStore)
{
    topic.isDown = true;
    runFor(2s);
    topic.write("a", std::nullopt);
    topic.write("c", "3");
    topic.firstKept = 3; // the missed records have expired
    topic.isDown = false;
    runFor(1s);
    CHECK((seen == std::map<std::string, std::string>{{"c", "3"}}));
}

// A member that gains a shard needs the current state of its workers.
TEST(RecordFollower, AShorterPauseTakesEffectAtOnce)
{
    follower.setPause(1s);
    runFor(1100ms);
    const int before = topic.tails;
    runFor(800ms);
    CHECK(topic.tails - before <= 1);
    topic.write("d", "4");
    follower.setPause(100ms);
    runFor(20ms);
    STRCMP_EQUAL("4", seen["d"].c_str());
    const int since = topic.tails;
    runFor(1s);
    CHECK(topic.tails - since >= 8);
}

// Guards against starting over after a rejected page. With every other page rejected, a topic of several
// pages was never read to its end (300 members that start at once, fleetbench sweep).
TEST(RecordFollower, ARejectedPageIsRequestedAgain)
{
    for (int n = 0; n < 20; ++n) {
        topic.write("k" + std::to_string(n), "1");
    }
    topic.firstKept = 21;
    topic.rejections = 1000;
    topic.pages = 0;
    runFor(5s);
    LONGS_EQUAL(21, seen.size());
    CHECK(topic.pages < 15);
}

// Guards against catching up slowly. A member that the store had rejected for nine seconds paused after each
// page of the workers' records, owned a cell for 2.6 s without knowing its workers, and leases expired (AVAIL
// on plaquewright-prod-large trouble-1).
TEST(RecordFollower, AFollowerThatIsBehindReadsToTheEndWithoutAPause)
{
    topic.isDown = true;
    runFor(1s);
    for (int n = 0; n < 200; ++n) {
        topic.write("k" + std::to_string(n), "1");
    }
    topic.recordsOfTail = 10;
    const int before = reads;
    topic.isDown = false;
    runFor(600ms);
    LONGS_EQUAL(201, seen.size());
    CHECK(reads - before <= 4); // a partly read topic is not reported
}

TEST(RecordFollower, AFollowerThatIsFarBehindReadsTheNewestOfEachKey)
{
    topic.isDown = true;
    runFor(1s);
    for (int n = 0; n < 4000; ++n) {
        topic.write("k" + std::to_string(n % 7), std::to_string(n));
    }
    topic.recordsOfTail = 10;
    topic.tails = 0;
    topic.isDown = false;
    runFor(600ms);
    LONGS_EQUAL(8, seen.size());
    STRCMP_EQUAL("3999", seen["k2"].c_str());
    CHECK(topic.tails < 10);
}

// Guards against decoding and applying every one of many configurations written in quick succession.
TEST(RecordFollower, ReportsOnlyTheLastOfSeveralValuesOfAKey)
{
    topic.isDown = true;
    runFor(1s);
    for (int n = 0; n < 50; ++n) {
        topic.write("config", std::to_string(n));
    }
    topic.isDown = false;
    changes = 0;
    runFor(1s);
    STRCMP_EQUAL("49", seen["config"].c_str());
    LONGS_EQUAL(1, changes);
}
